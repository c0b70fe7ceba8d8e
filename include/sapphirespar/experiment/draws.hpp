// Random draws that are the same with every library, unlike the standard
// distributions.
#pragma once

#include <random>

namespace sapphirespar::experiment {

using random_engine = std::mt19937_64;

// Above zero and up to one.
double Uniform(random_engine& aRandom);

// With the mean 1 / aRate.
double Exponential(random_engine& aRandom, double aRate);

// Standard normal.
double Normal(random_engine& aRandom);

} // namespace sapphirespar::experiment
