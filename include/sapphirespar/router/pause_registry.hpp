// Records which running requests are paused at their engines. The control
// thread writes the flags; the attempt that runs a request reads its flag.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace sapphirespar::router {

using pause_flag = std::atomic<bool>;
using pause_flag_ptr = std::shared_ptr<pause_flag>;

// Safe on any thread.
class pause_registry
{
public:
  // Adds a request that starts to run, unpaused, and returns its flag.
  pause_flag_ptr Register(const request_id& aRequest);

  // Removes a request that has ended.
  void Unregister(const request_id& aRequest);

  bool Contains(const request_id& aRequest);

  // Sets the flag of a running request. Returns false if the request does not
  // run at this router.
  bool Set(const request_id& aRequest, bool aPaused);

private:
  std::mutex mMutex;
  std::unordered_map<request_id, pause_flag_ptr> mFlags;
};

} // namespace sapphirespar::router
