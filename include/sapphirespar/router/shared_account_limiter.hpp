// The door for client accounts: their limits, shared by all traffic threads and
// kept in step with the other routers by the control thread.
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
  // Replaces the declared accounts.
  void Configure(const bundle& aBundle);

  // Replaces what the other routers on the blackboard have published.
  void SetPeers(const blackboard& aBoard);

  // What this router publishes in its next heartbeat.
  std::vector<account_demand> Publish();

  // Lets a request in, or says why not. One that was let in owes a Leave.
  std::optional<refusal> Enter(const account_id& aAccount);
  void Leave(const account_id& aAccount);

private:
  std::mutex mMutex;
  // Guarded by mMutex.
  policy::account_limiter mLimiter;
};

} // namespace sapphirespar::router
