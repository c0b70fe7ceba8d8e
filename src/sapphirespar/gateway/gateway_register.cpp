// Writing and reading of gateways' entries.
#include "sapphirespar/gateway/gateway_register.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/upstream/object_update.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace sapphirespar::gateway {
namespace {

// Gossip tells the rest; this finds those whom gossip has lost.
constexpr std::chrono::seconds kReadPeriod{ 10 };
constexpr std::chrono::seconds kRetryDelay{ 1 };

// How long one attempt to write goes on before it is begun anew.
constexpr std::chrono::seconds kWritePatience{ 20 };

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
  void Write()
  {
    const auto decide = [own = mSelf.mAddress](std::string_view aValue) {
      using upstream::change_kind;
      return aValue == own ? upstream::object_change{ change_kind::Keep, {} }
                           : upstream::object_change{ change_kind::Write, own };
    };
    upstream::UpdateObject(
      mPlatform,
      mTimers,
      KeyOf(mSelf.mVm),
      decide,
      kWritePatience,
      weak_from_this(),
      [this](upstream::update_result aResult) { OnWritten(aResult); });
  }

  void OnWritten(const upstream::update_result& aResult)
  {
    const bool done = aResult.mStatus == upstream::update_status::Ok;
    LogEvent(done ? log_level::Info : log_level::Warning,
             "gateway_entry",
             { { "written", static_cast<int>(done) },
               { "address", mSelf.mAddress },
               { "revision", aResult.mVersion } });
    if (!done) {
      mWriteTimer = mTimers.After(kRetryDelay, [this] { Write(); });
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

  void OnRead(const list_answer& aAnswer)
  {
    const bool read = aAnswer.mStatus == platform_status::Ok;
    if (read) {
      TakeEntries(aAnswer);
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
    if (!IsFirst(now)) {
      return;
    }
    for (const auto& vm : mPeers.LostRegistered(now)) {
      LogEvent(
        log_level::Info, "gateway_entry_removed", { { "vm", vm.mText } });
      // Under its revision: an entry that was written anew stays.
      mPlatform.Delete(KeyOf(vm), versions[vm], [](const object_answer&) {});
    }
  }

  // Whether this is the live gateway that removes entries of lost ones.
  bool IsFirst(steady_time aNow) const
  {
    const auto live = mPeers.LiveNames(aNow);
    return std::ranges::all_of(
      live, [&](const vm_id& aVm) { return mSelf.mVm < aVm; });
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
  mState->Write();
  mState->Read();
}

} // namespace sapphirespar::gateway
