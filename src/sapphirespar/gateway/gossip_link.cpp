// UDP socket, timers and pending queries of the gossip link.
#include "sapphirespar/gateway/gossip_link.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/gateway/gossip_plan.hpp"
#include "sapphirespar/wire/gossip_codec.hpp"
#include "sapphirespar/wire/stream_codec.hpp"
#include "sapphirespar/wire/usage_codec.hpp"

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

// Receive buffer in bytes. Larger datagrams are truncated.
constexpr std::size_t kMaximumDatagramBytes = 32 * 1024;

// Interval between datagrams to the seeds while no other gateway is live. The
// seeds are tried without limit, because one may return after a long time.
constexpr std::chrono::seconds kSeedPeriod{ 5 };

} // namespace

struct gossip_link::state : std::enable_shared_from_this<state>
{
  state(asio::io_context& aContext,
        timer_service& aTimers,
        peer_table& aPeers,
        gossip_settings aSettings,
        gossip_hooks aHooks)
    : mTimers(aTimers)
    , mPeers(aPeers)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mPlan(mPeers, mSettings.mMinimumInterval, mHooks.mSelf)
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
        // Errors other than an abort report that an earlier datagram could not
        // be delivered. They don't concern the receive.
        if (!aError) {
          self->OnDatagram(std::string_view(self->mBytes.data(), aCount));
        }
        self->Receive();
      });
  }

  void LogUnreadable(std::string_view aBytes) const
  {
    LogEvent(
      log_level::Warning,
      "gossip_unreadable",
      { { "from", mFrom.address().to_string() }, { "bytes", aBytes.size() } });
  }

  void OnDatagram(std::string_view aBytes)
  {
    if (wire::IsStreamMessage(aBytes)) {
      const auto streams = wire::DecodeStreamMessage(aBytes);
      if (streams) {
        mHooks.mReceivedStreams(mFrom.address().to_string(), *streams);
      } else {
        LogUnreadable(aBytes);
      }
      return;
    }
    if (wire::IsUsageMessage(aBytes)) {
      const auto usage = wire::DecodeUsageMessage(aBytes);
      if (usage) {
        mHooks.mReceivedUsage(*usage);
      } else {
        LogUnreadable(aBytes);
      }
      return;
    }
    const auto received = wire::DecodeGossip(aBytes);
    if (!received) {
      LogUnreadable(aBytes);
      return;
    }
    const auto effect = mPeers.Receive(*received, mTimers.Now());
    if (effect == gossip_effect::NewProcess) {
      LogEvent(log_level::Info,
               "gateway_found",
               { { "vm", received->mSender.mVm.mText },
                 { "incarnation", received->mSender.mIncarnation },
                 { "address", received->mAddress } });
    }
    if (received->mWantsReply || effect == gossip_effect::NewProcess) {
      auto answer = NextState();
      answer.mReplyTo = received->mWantsReply ? received->mSequence : 0;
      SendTo(received->mAddress, wire::EncodeGossip(answer));
    }
    const auto pending = mPending.find(received->mReplyTo);
    if (pending != mPending.end()) {
      const auto done = std::move(pending->second.mDone);
      mPending.erase(pending);
      done(&*received);
    }
    if (effect != gossip_effect::Ignored) {
      mHooks.mReceived(*received);
    }
  }

  // This gateway's state with the next sequence number.
  gossip_state NextState()
  {
    auto self = mHooks.mSelf();
    self.mSequence = ++mSequence;
    return self;
  }

  void Query(const std::string& aAddress,
             milliseconds aTimeout,
             state_callback aDone)
  {
    auto self = NextState();
    self.mWantsReply = true;
    const auto sequence = self.mSequence;
    auto& query = mPending[sequence];
    query.mDone = std::move(aDone);
    query.mTimeout = mTimers.After(aTimeout, [this, sequence] {
      const auto pending = mPending.find(sequence);
      if (pending != mPending.end()) {
        const auto done = std::move(pending->second.mDone);
        mPending.erase(pending);
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
    // Errors are ignored: datagrams may be lost anyway, and the next one
    // carries the complete state again.
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
    Send(mPlan.DueMessages(now));
    const bool alone = mPeers.LiveGateways(now).empty();
    // Seeds are contacted ten times as often until 40 states have been sent, so
    // that a new gateway joins the fleet quickly.
    if (alone && now - mLastSeeds >= kSeedPeriod / (mSequence < 40 ? 10 : 1)) {
      mLastSeeds = now;
      auto self = NextState();
      self.mWantsReply = true;
      const auto bytes = wire::EncodeGossip(self);
      std::ranges::for_each(mSettings.mSeeds, [&](const std::string& aSeed) {
        SendTo(aSeed, bytes);
      });
    }
  }

  void SendNow() { Send(mPlan.MessagesToAll(mTimers.Now())); }

  void Send(std::vector<outgoing_gossip> aMessages)
  {
    for (auto& message : aMessages) {
      message.mState.mSequence = ++mSequence;
      const auto bytes = wire::EncodeGossip(message.mState);
      for (const auto& address : message.mTo) {
        SendTo(address, bytes);
      }
    }
  }

  struct pending_query
  {
    state_callback mDone;
    timer_subscription mTimeout;
  };

  timer_service& mTimers;
  peer_table& mPeers;
  gossip_settings mSettings;
  gossip_hooks mHooks;
  gossip_plan mPlan;
  // Unanswered queries by the sequence number they were sent with.
  std::map<std::uint64_t, pending_query> mPending;
  udp::socket mSocket;
  std::array<char, kMaximumDatagramBytes> mBytes{};
  // Sender of the datagram in mBytes.
  udp::endpoint mFrom;
  // Sequence number of the last state sent.
  std::uint64_t mSequence = 0;
  steady_time mLastSeeds{};
  timer_subscription mTick;
};

gossip_link::gossip_link(asio::io_context& aContext,
                         timer_service& aTimers,
                         peer_table& aPeers,
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
  mState->mTick =
    mState->mTimers.Every(mState->mSettings.mMinimumInterval,
                          [self = mState.get()] { self->Tick(); });
  mState->Tick();
}

void
gossip_link::Query(const std::string& aAddress,
                   milliseconds aTimeout,
                   state_callback aDone)
{
  mState->Query(aAddress, aTimeout, std::move(aDone));
}

void
gossip_link::SetSeeds(std::vector<std::string> aSeeds)
{
  mState->mSettings.mSeeds = std::move(aSeeds);
}

void
gossip_link::SendStreams(const std::string& aAddress,
                         const stream_message& aMessage)
{
  mState->SendTo(aAddress, wire::EncodeStreamMessage(aMessage));
}

void
gossip_link::SendUsage(const std::string& aAddress,
                       const usage_message& aMessage)
{
  mState->SendTo(aAddress, wire::EncodeUsageMessage(aMessage));
}

void
gossip_link::SendNow()
{
  mState->SendNow();
}

} // namespace sapphirespar::gateway
