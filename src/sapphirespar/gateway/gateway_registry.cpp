// Writes this gateway's registry entry, reads the entries of all gateways, and
// removes those of lost gateways.
#include "sapphirespar/gateway/gateway_registry.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace sapphirespar::gateway {
namespace {

// Gossip finds most new gateways. Reading the registry finds those that
// gossip does not reach.
constexpr std::chrono::seconds kReadPeriod{ 10 };
constexpr std::chrono::seconds kRetryDelay{ 1 };

// Gateways that start together write their entries within this time, so that
// the store is not asked by all at once.
constexpr std::chrono::milliseconds kWriteSpread{ 1000 };

// Delay before the first read, by when the entries have been written, and the
// time over which these reads are spread. A gateway without peers reads at
// once.
constexpr std::chrono::milliseconds kFirstRead{ 2000 };
constexpr std::chrono::milliseconds kReadSpread{ 2000 };
constexpr std::chrono::milliseconds kFirstReadAlone{ 500 };

} // namespace

struct gateway_registry::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        peer_table& aPeers,
        peer_contact aSelf,
        registry_hooks aHooks,
        double aDraw)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mPeers(aPeers)
    , mSelf(std::move(aSelf))
    , mHooks(std::move(aHooks))
    , mDraw(aDraw)
  {
  }

  object_key KeyOf(const vm_id& aVm) const
  {
    return { std::string(kGatewayKind), aVm.mText };
  }

  // Writes the entry. It is not deleted when this process ends, because most
  // processes restart under the same address within a short time.
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
      // A write with unknown outcome is retried as well. If it took effect, the
      // retry fails with a conflict and finds the right address.
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

  // Spreads the gateways' calls over aTime.
  std::chrono::milliseconds Spread(std::chrono::milliseconds aTime) const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime * mDraw);
  }

  void WriteSpread()
  {
    mWriteTimer =
      mTimers.After(Spread(kWriteSpread), [this] { Write(kNoObject); });
  }

  void Start()
  {
    WriteSpread();
    mReadTimer = mTimers.After(kFirstReadAlone, [this] {
      if (mPeers.LiveGateways(mTimers.Now()).empty()) {
        Read();
        return;
      }
      mReadTimer = mTimers.After(kFirstRead + Spread(kReadSpread),
                                 [this] { ReadFirst(); });
    });
  }

  // Reads the entries, or copies the list of a reader that has read them.
  void ReadFirst()
  {
    if (mPeers.IsFirstReader(mTimers.Now())) {
      Read();
      return;
    }
    mHooks.mFetchContacts([weak = weak_from_this()](bool aReceived) {
      const auto self = weak.lock();
      if (self && aReceived) {
        self->mReadTimer = self->mTimers.After(
          kReadPeriod, [raw = self.get()] { raw->ReadAgain(); });
      } else if (self) {
        self->Read();
      }
    });
  }

  // Reads again only if this gateway is the first reader. The others learn of
  // new gateways by gossip.
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
      ApplyEntries(aAnswer);
      mReadTimer = mTimers.After(kReadPeriod, [this] { ReadAgain(); });
      return;
    }
    mReadTimer = mTimers.After(kRetryDelay, [this] { Read(); });
  }

  void ApplyEntries(const list_answer& aAnswer)
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
      // Conditional on the revision, so that an entry that was written again
      // since the read is kept.
      mPlatform.Delete(KeyOf(vm), versions[vm], [](const object_answer&) {});
    }
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  peer_table& mPeers;
  const peer_contact mSelf;
  const registry_hooks mHooks;
  const double mDraw;
  timer_subscription mReadTimer;
  timer_subscription mWriteTimer;
};

gateway_registry::gateway_registry(platform_api& aPlatform,
                                   timer_service& aTimers,
                                   peer_table& aPeers,
                                   peer_contact aSelf,
                                   registry_hooks aHooks,
                                   double aDraw)
  : mState(std::make_shared<state>(aPlatform,
                                   aTimers,
                                   aPeers,
                                   std::move(aSelf),
                                   std::move(aHooks),
                                   aDraw))
{
}

gateway_registry::~gateway_registry() = default;

void
gateway_registry::Start()
{
  mState->Start();
}

void
gateway_registry::WriteAgain()
{
  mState->WriteSpread();
}

} // namespace sapphirespar::gateway
