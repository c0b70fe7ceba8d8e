// Writing and reading of gateways' entries.
#include "sapphirespar/gateway/gateway_register.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace sapphirespar::gateway {
namespace {

// Gossip tells the rest; this finds those whom gossip has lost.
constexpr std::chrono::seconds kReadPeriod{ 10 };
constexpr std::chrono::seconds kRetryDelay{ 1 };

// By then another gateway has told who the others are, if there is one.
constexpr std::chrono::milliseconds kFirstRead{ 100 };

} // namespace

struct gateway_register::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        peer_board& aPeers,
        peer_contact aSelf)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mPeers(aPeers)
    , mSelf(std::move(aSelf))
  {
  }

  object_key KeyOf(const vm_id& aVm) const
  {
    return { std::string(kGatewayKind), aVm.mText };
  }

  // Writes the entry. It stays when this process ends: most processes are back
  // under the same address before it matters.
  void Write(object_version aExpected)
  {
    mPlatform.Put(KeyOf(mSelf.mVm),
                  mSelf.mAddress,
                  aExpected,
                  [weak = weak_from_this()](const object_answer& aAnswer) {
                    if (const auto self = weak.lock()) {
                      self->OnWritten(aAnswer);
                    }
                  });
  }

  void OnWritten(const object_answer& aAnswer)
  {
    const bool conflict = aAnswer.mStatus == platform_status::Conflict;
    const bool done = aAnswer.mStatus == platform_status::Ok ||
                      (conflict && aAnswer.mObject.mValue == mSelf.mAddress);
    LogEvent(done ? log_level::Info : log_level::Warning,
             "gateway_entry",
             { { "written", static_cast<int>(done) },
               { "status", ToText(aAnswer.mStatus) },
               { "address", mSelf.mAddress },
               { "revision", aAnswer.mObject.mVersion } });
    if (!done) {
      // A write of unknown fate is tried again as well: it conflicts with
      // itself if it took effect.
      const auto expected = conflict ? aAnswer.mObject.mVersion : kNoObject;
      mWriteTimer =
        mTimers.After(kRetryDelay, [this, expected] { Write(expected); });
    }
  }

  void Read()
  {
    mPlatform.List(std::string(kGatewayKind),
                   [weak = weak_from_this()](list_answer aAnswer) {
                     if (const auto self = weak.lock()) {
                       self->OnRead(aAnswer);
                     }
                   });
  }

  void ReadOnceIntroduced()
  {
    mReadTimer = mTimers.After(kFirstRead, [this] {
      if (mPeers.IsIntroduced()) {
        mReadTimer = mTimers.After(kReadPeriod, [this] { Read(); });
      } else {
        Read();
      }
    });
  }

  // Reads again only where this gateway reads the store for all; the others
  // learn of new gateways by gossip.
  void ReadAgain()
  {
    if (mPeers.IsFirstReader(mTimers.Now())) {
      Read();
    } else {
      mReadTimer = mTimers.After(kReadPeriod, [this] { ReadAgain(); });
    }
  }

  void OnRead(const list_answer& aAnswer)
  {
    const bool read = aAnswer.mStatus == platform_status::Ok;
    if (read) {
      TakeEntries(aAnswer);
      mReadTimer = mTimers.After(kReadPeriod, [this] { ReadAgain(); });
      return;
    }
    mReadTimer =
      mTimers.After(read ? kReadPeriod : kRetryDelay, [this] { Read(); });
  }

  void TakeEntries(const list_answer& aAnswer)
  {
    std::vector<peer_contact> contacts;
    std::map<vm_id, object_version> versions;
    for (const auto& object : aAnswer.mObjects) {
      const vm_id vm{ object.mKey.mName };
      contacts.push_back({ vm, object.mValue });
      versions[vm] = object.mVersion;
    }
    const auto now = mTimers.Now();
    mPeers.SetRegistered(std::move(contacts), now);
    if (!mPeers.IsFirstReader(now)) {
      return;
    }
    for (const auto& vm : mPeers.LostRegistered(now)) {
      LogEvent(
        log_level::Info, "gateway_entry_removed", { { "vm", vm.mText } });
      // Under its revision: an entry that was written anew stays.
      mPlatform.Delete(KeyOf(vm), versions[vm], [](const object_answer&) {});
    }
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  peer_board& mPeers;
  const peer_contact mSelf;
  timer_subscription mReadTimer;
  timer_subscription mWriteTimer;
};

gateway_register::gateway_register(platform_api& aPlatform,
                                   timer_service& aTimers,
                                   peer_board& aPeers,
                                   peer_contact aSelf)
  : mState(
      std::make_shared<state>(aPlatform, aTimers, aPeers, std::move(aSelf)))
{
}

gateway_register::~gateway_register() = default;

void
gateway_register::Start()
{
  mState->Write(kNoObject);
  mState->ReadOnceIntroduced();
}

} // namespace sapphirespar::gateway
