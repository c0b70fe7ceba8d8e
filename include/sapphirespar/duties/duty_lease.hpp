// Decides which gateway does the duties that one gateway does for the whole
// fleet. The holder writes a record in the platform's store again and again, on
// the condition that nobody else has. The version of its last write is the
// fencing token of its calls.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace sapphirespar::duties {

// Rises with each write of the record, also over a restore of the store.
using fencing_token = std::uint64_t;

// Kind and name of the record in the platform's store.
inline constexpr std::string_view kLeaseKind = "duties";
inline constexpr std::string_view kLeaseName = "holder";

struct duty_lease_settings
{
  process_id mSelf;
  // The record is written this often. It expires after twice this, when
  // another gateway may take it over.
  std::chrono::milliseconds mPeriod{ 3000 };
  // The whole fleet starts for the first time.
  bool mFirstStart = false;
};

struct duty_lease_hooks
{
  std::function<boot_time()> mNow;
  // Whether this gateway takes the duties over if nobody holds them.
  std::function<bool()> mIsCandidate;
  // The token that another live gateway holds, as it tells; zero if none does.
  std::function<fencing_token()> mToldToken;
  // Called when this gateway has taken or lost the duties. May be null.
  std::function<void()> mChanged;
};

class duty_lease
{
public:
  // All references must outlive the lease.
  duty_lease(platform_api& aPlatform,
             timer_service& aTimers,
             duty_lease_settings aSettings,
             duty_lease_hooks aHooks);
  ~duty_lease();
  duty_lease(const duty_lease&) = delete;
  duty_lease& operator=(const duty_lease&) = delete;

  void Start();

  // Returns the token with which this gateway may send a call now. Ask again
  // right before the call is written: the process may have been paused.
  std::optional<fencing_token> Token() const;

  // Returns the token while this gateway holds the duties, even if it may not
  // send calls yet; otherwise zero.
  fencing_token HeldToken() const;

  // Records that a call is being sent now. Once this gateway has lost the
  // duties, it sends none for a period after its last call, as another gateway
  // may have acted in between.
  void NoteCall();

  // Writes the record at once, which raises the token. A call that got no
  // answer and is carried out late is then refused.
  void RaiseToken();

  // Gives the duties up for good. Another gateway may take them at once.
  void Release();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::duties
