// The datagram socket and the times at which it is used.
#include "sapphirespar/gateway/gossip_link.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/gateway/gossip_plan.hpp"
#include "sapphirespar/wire/gossip_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace sapphirespar::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Largest datagram that is taken in.
constexpr std::size_t kMostBytes = 32 * 1024;

// Seeds may be back under the same address after a long time.
constexpr std::chrono::seconds kSeedPeriod{ 5 };

} // namespace

struct gossip_link::state : std::enable_shared_from_this<state>
{
  state(asio::io_context& aContext,
        timer_service& aTimers,
        peer_board& aPeers,
        gossip_settings aSettings,
        gossip_hooks aHooks)
    : mTimers(aTimers)
    , mPeers(aPeers)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mPlan(mPeers, mSettings.mShortestPause, mHooks.mSelf)
    , mSocket(aContext,
              udp::endpoint(asio::ip::make_address(mSettings.mListen.mAddress),
                            mSettings.mListen.mPort))
  {
    mSocket.non_blocking(true);
  }

  void Receive()
  {
    mSocket.async_receive_from(
      asio::buffer(mBytes),
      mFrom,
      [weak = weak_from_this()](const error_code& aError, std::size_t aCount) {
        const auto self = weak.lock();
        if (!self || aError == asio::error::operation_aborted) {
          return;
        }
        // An error stems from an earlier datagram that nobody took.
        if (!aError) {
          self->OnDatagram(std::string_view(self->mBytes.data(), aCount));
        }
        self->Receive();
      });
  }

  void OnDatagram(std::string_view aBytes)
  {
    const auto told = wire::DecodeGossip(aBytes);
    if (!told) {
      LogEvent(log_level::Warning,
               "gossip_unreadable",
               { { "from", mFrom.address().to_string() },
                 { "bytes", aBytes.size() } });
      return;
    }
    const auto effect = mPeers.Receive(*told, mTimers.Now());
    if (effect == gossip_effect::NewProcess) {
      LogEvent(log_level::Info,
               "gateway_found",
               { { "vm", told->mSender.mVm.mText },
                 { "incarnation", told->mSender.mIncarnation },
                 { "address", told->mAddress } });
    }
    if (told->mWantsReply || effect == gossip_effect::NewProcess) {
      auto answer = Self();
      answer.mReplyTo = told->mWantsReply ? told->mSequence : 0;
      SendTo(told->mAddress, wire::EncodeGossip(answer));
    }
    const auto asked = mAsked.find(told->mReplyTo);
    if (asked != mAsked.end()) {
      const auto done = std::move(asked->second.mDone);
      mAsked.erase(asked);
      done(&*told);
    }
    if (effect != gossip_effect::Ignored) {
      mHooks.mReceived(*told);
    }
  }

  // This gateway's state with the next number.
  gossip_state Self()
  {
    auto self = mHooks.mSelf();
    self.mSequence = ++mSequence;
    return self;
  }

  void Ask(const std::string& aAddress,
           milliseconds aTimeout,
           gossip_answer aDone)
  {
    auto self = Self();
    self.mWantsReply = true;
    const auto sequence = self.mSequence;
    auto& question = mAsked[sequence];
    question.mDone = std::move(aDone);
    question.mTimeout = mTimers.After(aTimeout, [this, sequence] {
      const auto asked = mAsked.find(sequence);
      if (asked != mAsked.end()) {
        const auto done = std::move(asked->second.mDone);
        mAsked.erase(asked);
        done(nullptr);
      }
    });
    SendTo(aAddress, wire::EncodeGossip(self));
  }

  void SendTo(const std::string& aAddress, const std::string& aBytes)
  {
    error_code error;
    const auto address = asio::ip::make_address(aAddress, error);
    if (error) {
      return;
    }
    // Datagrams may be lost; the next one says the same.
    mSocket.send_to(asio::buffer(aBytes),
                    udp::endpoint(address, mSettings.mListen.mPort),
                    0,
                    error);
  }

  void Tick()
  {
    const auto now = mTimers.Now();
    for (const auto& vm : mPeers.Tick(now)) {
      LogEvent(log_level::Warning, "gateway_lost", { { "vm", vm.mText } });
    }
    Send(mPlan.Due(now));
    const bool alone = mPeers.LiveNames(now).empty();
    if (alone && now - mLastSeeds >= kSeedPeriod / (mSequence < 40 ? 10 : 1)) {
      mLastSeeds = now;
      auto self = Self();
      self.mWantsReply = true;
      const auto bytes = wire::EncodeGossip(self);
      std::ranges::for_each(mSettings.mSeeds, [&](const std::string& aSeed) {
        SendTo(aSeed, bytes);
      });
    }
  }

  void TellNow() { Send(mPlan.TellAll(mTimers.Now())); }

  void Send(std::vector<gossip_mail> aMails)
  {
    for (auto& mail : aMails) {
      mail.mState.mSequence = ++mSequence;
      const auto bytes = wire::EncodeGossip(mail.mState);
      for (const auto& address : mail.mTo) {
        SendTo(address, bytes);
      }
    }
  }

  struct question
  {
    gossip_answer mDone;
    timer_subscription mTimeout;
  };

  timer_service& mTimers;
  peer_board& mPeers;
  gossip_settings mSettings;
  gossip_hooks mHooks;
  gossip_plan mPlan;
  // Questions without an answer so far, by their sequence numbers.
  std::map<std::uint64_t, question> mAsked;
  udp::socket mSocket;
  std::array<char, kMostBytes> mBytes{};
  udp::endpoint mFrom;
  std::uint64_t mSequence = 0;
  steady_time mLastSeeds{};
  timer_subscription mTick;
};

gossip_link::gossip_link(asio::io_context& aContext,
                         timer_service& aTimers,
                         peer_board& aPeers,
                         gossip_settings aSettings,
                         gossip_hooks aHooks)
  : mState(std::make_shared<state>(aContext,
                                   aTimers,
                                   aPeers,
                                   std::move(aSettings),
                                   std::move(aHooks)))
{
}

gossip_link::~gossip_link()
{
  error_code ignored;
  mState->mSocket.close(ignored);
}

void
gossip_link::Start()
{
  mState->Receive();
  mState->mTick = mState->mTimers.Every(
    mState->mSettings.mShortestPause, [self = mState.get()] { self->Tick(); });
  mState->Tick();
}

void
gossip_link::Ask(const std::string& aAddress,
                 milliseconds aTimeout,
                 gossip_answer aDone)
{
  mState->Ask(aAddress, aTimeout, std::move(aDone));
}

void
gossip_link::TellNow()
{
  mState->TellNow();
}

} // namespace sapphirespar::gateway
