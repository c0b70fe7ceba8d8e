// Rounds of connections to upstreams, and what follows from them.
#include "sapphirespar/gateway/reach_monitor.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };

// Upstreams tried in a round, as far as possible of different pools.
constexpr std::size_t kProbes = 2;

// Rounds without a connection until the path counts as lost. Each takes other
// upstreams at random, some of which may be down themselves.
constexpr unsigned kFailedRounds = 2;

// Time between rounds that attempts ask for, and after which a gateway that is
// cut off tries again.
constexpr milliseconds kRoundPause{ 400 };

// Requests that wait while no upstream at all sends anything raise the question
// after this time; with few requests this is usual, so it is asked rarely.
constexpr milliseconds kCommonSilence{ 700 };
constexpr milliseconds kSilencePause{ 1000 };

// Puts upstreams of pools that have not been met before the others.
std::vector<upstream_ptr>
ChooseProbes(std::vector<upstream_ptr> aUpstreams)
{
  std::vector<upstream_ptr> chosen;
  const auto isNewPool = [&](const upstream_ptr& aUpstream) {
    return std::ranges::none_of(chosen, [&](const upstream_ptr& aOther) {
      return aOther->mEntry.mPool == aUpstream->mEntry.mPool;
    });
  };
  while (!aUpstreams.empty() && chosen.size() < kProbes) {
    auto next = std::ranges::find_if(aUpstreams, isNewPool);
    next = next == aUpstreams.end() ? aUpstreams.begin() : next;
    chosen.push_back(std::move(*next));
    aUpstreams.erase(next);
  }
  return chosen;
}

} // namespace

reach_monitor::reach_monitor(timer_service& aTimers,
                             metrics& aMetrics,
                             reach_hooks aHooks)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mHooks(std::move(aHooks))
{
  mMetrics.Set("gateway_cut_off", {}, 0);
  mTick = mTimers.Every(kTick, [this] { Tick(); });
}

void
reach_monitor::Suspect()
{
  if (mProbes == 0 && !mCutOff && mTimers.Now() - mLastRound >= kRoundPause) {
    StartRound();
  }
}

void
reach_monitor::OnSign()
{
  mLastSign = mTimers.Now();
}

void
reach_monitor::BeginWait()
{
  if (mWaiting++ == 0) {
    mLastSign = mTimers.Now();
  }
}

void
reach_monitor::EndWait()
{
  --mWaiting;
}

void
reach_monitor::Tick()
{
  if (mProbes > 0) {
    return;
  }
  const auto now = mTimers.Now();
  const auto pause = now - mLastRound;
  const bool silent =
    mWaiting > 0 && now - mLastSign >= kCommonSilence && pause >= kSilencePause;
  if (silent || (mCutOff && pause >= kRoundPause)) {
    StartRound();
  }
}

void
reach_monitor::StartRound()
{
  const auto chosen = ChooseProbes(mHooks.mUpstreams());
  if (chosen.empty()) {
    return;
  }
  mLastRound = mTimers.Now();
  mProbes = static_cast<unsigned>(chosen.size());
  mFailures = 0;
  mConnected = false;
  for (const auto& upstream : chosen) {
    mHooks.mConnect(upstream->mEntry,
                    [this](bool aConnected) { OnProbe(aConnected); });
  }
}

void
reach_monitor::OnProbe(bool aConnected)
{
  --mProbes;
  mFailures += aConnected ? 0 : 1;
  mConnected = mConnected || aConnected;
  if (mProbes == 0) {
    EndRound();
  }
}

void
reach_monitor::EndRound()
{
  if (mConnected) {
    mFailedRounds = 0;
    Set(false);
    return;
  }
  ++mFailedRounds;
  if (mFailedRounds >= kFailedRounds) {
    Set(true);
  } else {
    StartRound();
  }
}

void
reach_monitor::Set(bool aCutOff)
{
  if (mCutOff == aCutOff) {
    return;
  }
  mCutOff = aCutOff;
  const auto silence =
    std::chrono::duration_cast<milliseconds>(mTimers.Now() - mLastSign);
  LogEvent(log_level::Warning,
           aCutOff ? "upstreams_out_of_reach" : "upstreams_in_reach",
           { { "failed_rounds", mFailedRounds },
             { "waiting", mWaiting },
             { "last_sign_ms", silence.count() } });
  mMetrics.Set("gateway_cut_off", {}, aCutOff ? 1 : 0);
  mHooks.mChanged();
}

namespace {

// Connects, and waits a little, as a device on the path may accept connections
// and reset them.
boost::asio::awaitable<void>
Connect(boost::asio::any_io_executor aExecutor,
        wire::endpoint aEndpoint,
        std::function<void(bool)> aDone)
{
  constexpr milliseconds kTimeout{ 400 };
  constexpr milliseconds kHold{ 30 };
  const auto connected = co_await wire::ConnectStream(
    aExecutor, std::move(aEndpoint), nullptr, kTimeout);
  if (connected) {
    boost::asio::steady_timer hold(aExecutor, kHold);
    co_await hold.async_wait(boost::asio::use_awaitable);
  }
  aDone(connected && !connected.value()->LooksClosed());
}

} // namespace

std::function<void(const upstream_entry&, std::function<void(bool)>)>
MakeConnectHook(boost::asio::any_io_executor aExecutor)
{
  return [executor = std::move(aExecutor)](const upstream_entry& aEntry,
                                           std::function<void(bool)> aDone) {
    wire::endpoint endpoint;
    endpoint.mAddress = aEntry.mAddress;
    endpoint.mPort = aEntry.mPort;
    boost::asio::co_spawn(
      executor,
      Connect(executor, std::move(endpoint), std::move(aDone)),
      boost::asio::detached);
  };
}

} // namespace sapphirespar::gateway
