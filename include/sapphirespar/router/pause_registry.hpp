// Which running requests are paused at their engines. Written by the control
// thread, read by the attempt that runs the request.
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
  // Returns the flag of a request that begins to run.
  pause_flag_ptr Register(const request_id& aRequest);

  // The request runs no more.
  void Unregister(const request_id& aRequest);

  bool Contains(const request_id& aRequest);

  // Sets the flag of a request that runs here; false if none does.
  bool Set(const request_id& aRequest, bool aPaused);

private:
  std::mutex mMutex;
  std::unordered_map<request_id, pause_flag_ptr> mFlags;
};

} // namespace sapphirespar::router
