// Estimates the answer lengths of one class with a histogram of token counts
// in which old answers decay.
#pragma once

#include <cstdint>
#include <memory>

namespace sapphirespar::policy {

class length_estimate
{
public:
  length_estimate();
  ~length_estimate();
  length_estimate(length_estimate&&) noexcept;
  length_estimate& operator=(length_estimate&&) noexcept;

  // Records one complete answer of aTokens tokens.
  void Add(unsigned aTokens);

  // Returns the aQuantile quantile, between 0 and 1, of the recent answer
  // lengths in tokens; zero while too few answers are known.
  double Quantile(double aQuantile) const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::policy
