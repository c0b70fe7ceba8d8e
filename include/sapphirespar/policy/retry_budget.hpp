// Limits retries to a share of the successful requests, so that retries do not
// overload a failing fleet.
#pragma once

namespace sapphirespar::policy {

class retry_budget
{
public:
  // Each success earns aShare of a retry.
  explicit retry_budget(double aShare = 0.1);

  void AddSuccess();

  // Spends one retry; returns false if there is none left.
  bool TryTake();

  // Returns the number of retries that could be taken now.
  double Left() const { return mLeft; }

private:
  const double mShare;
  // Between zero and kMaximumRetries.
  double mLeft;
};

} // namespace sapphirespar::policy
