// Bounds retries to a share of the successes, so that a failing fleet is not
// buried under repeated work.
#pragma once

namespace sapphirespar::policy {

class retry_budget
{
public:
  // One success earns aShare of a retry.
  explicit retry_budget(double aShare = 0.1);

  void AddSuccess();

  // Spends one retry if there is one left.
  bool TryTake();

  // Retries that could be taken now.
  double Left() const { return mLeft; }

private:
  const double mShare;
  // Between zero and the ceiling.
  double mLeft;
};

} // namespace sapphirespar::policy
