// Stores the pause flags of running requests.
#include "sapphirespar/router/pause_registry.hpp"

namespace sapphirespar::router {

pause_flag_ptr
pause_registry::Register(const request_id& aRequest)
{
  const std::lock_guard lock(mMutex);
  auto& flag = mFlags[aRequest];
  flag = std::make_shared<pause_flag>(false);
  return flag;
}

void
pause_registry::Unregister(const request_id& aRequest)
{
  const std::lock_guard lock(mMutex);
  mFlags.erase(aRequest);
}

bool
pause_registry::Contains(const request_id& aRequest)
{
  const std::lock_guard lock(mMutex);
  return mFlags.contains(aRequest);
}

bool
pause_registry::Set(const request_id& aRequest, bool aPaused)
{
  const std::lock_guard lock(mMutex);
  const auto found = mFlags.find(aRequest);
  if (found == mFlags.end()) {
    return false;
  }
  found->second->store(aPaused);
  return true;
}

} // namespace sapphirespar::router
