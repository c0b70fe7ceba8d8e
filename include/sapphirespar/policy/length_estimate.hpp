// How long the answers of one class are: a histogram of tokens that forgets.
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

  // Takes in one whole answer of aTokens.
  void Add(unsigned aTokens);

  // Tokens that a share aQuantile of recent answers does not exceed, between
  // zero and one; zero while too few answers are known.
  double Quantile(double aQuantile) const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::policy
