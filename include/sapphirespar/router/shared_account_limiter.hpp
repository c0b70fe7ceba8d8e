// Enforces the limits of client accounts for all traffic threads. The control
// thread supplies the demand that other routers report for the same accounts.
#pragma once

#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/policy/account_limiter.hpp"

#include <mutex>
#include <optional>
#include <vector>

namespace sapphirespar::router {

// Safe on any thread.
class shared_account_limiter
{
public:
  // Replaces the declared accounts and their limits.
  void Configure(const bundle& aBundle);

  // Replaces the demand that the other routers on the blackboard have reported.
  void SetPeers(const blackboard& aBoard);

  // Returns the demand that this router reports in its next heartbeat.
  std::vector<account_demand> Publish();

  // Returns a refusal if the request exceeds its account's limits, nothing if
  // it is admitted. Finish must be called once for each admitted request.
  std::optional<refusal> Admit(const account_id& aAccount);
  void Finish(const account_id& aAccount);

private:
  std::mutex mMutex;
  // Guarded by mMutex.
  policy::account_limiter mLimiter;
};

} // namespace sapphirespar::router
