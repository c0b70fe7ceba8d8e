// Random draws by inversion and the Box-Muller transform.
#include "sapphirespar/experiment/draws.hpp"

#include <cmath>

namespace sapphirespar::experiment {

double
Uniform(random_engine& aRandom)
{
  // 2^53: a double represents every multiple of 2^-53 in this range exactly.
  constexpr double kSteps = 9007199254740992.0;
  return (static_cast<double>(aRandom() >> 11) + 1) / kSteps;
}

double
Exponential(random_engine& aRandom, double aRate)
{
  return -std::log(Uniform(aRandom)) / aRate;
}

double
Normal(random_engine& aRandom)
{
  constexpr double kPi = 3.14159265358979323846;
  const auto radius = std::sqrt(-2 * std::log(Uniform(aRandom)));
  return radius * std::cos(2 * kPi * Uniform(aRandom));
}

} // namespace sapphirespar::experiment
