// Random draws that are the same with every standard library, unlike the
// standard distributions.
#pragma once

#include <random>

namespace sapphirespar::experiment {

using random_engine = std::mt19937_64;

// Uniform in (0, 1].
double Uniform(random_engine& aRandom);

// Exponential with the mean 1 / aRate.
double Exponential(random_engine& aRandom, double aRate);

// Standard normal.
double Normal(random_engine& aRandom);

} // namespace sapphirespar::experiment
