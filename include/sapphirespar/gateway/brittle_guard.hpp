// Spares upstreams that fall over if they have to turn too many requests away.
// After one of a pool has turned a request away, no gateway sends to that one
// for a while, and all gateways ration what they send to the pool: each of them
// draws what it may send to each upstream in the next period, so that the fleet
// fills part of the room that is known. Rations need no messages beside the
// loads that gateways report anyway.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_alert.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/upstream_pause.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace sapphirespar::gateway {

struct brittle_hooks
{
  // Returns a listed upstream; null if it is not listed.
  std::function<upstream_ptr(std::uint64_t aKey)> mFind;
  // Returns a random number from 0 to 1.
  std::function<double()> mDraw;
  // Sends this gateway's state to all peers.
  std::function<void()> mTellPeers;
  // Number of gateways that may send requests; zero if unknown.
  std::function<unsigned()> mGateways;
  // Time within which the loads of other gateways become known.
  std::function<std::chrono::milliseconds()> mLoadPeriod;
};

// The priorities of requests that wait for a ration, by pool.
using ration_queue = std::map<std::uint64_t, std::multiset<unsigned>>;

// One request that waits; less urgent ones let it go first.
class ration_wait
{
public:
  ration_wait(std::shared_ptr<ration_queue> aQueue,
              std::uint64_t aPool,
              unsigned aPriority);
  ~ration_wait();
  ration_wait(const ration_wait&) = delete;
  ration_wait& operator=(const ration_wait&) = delete;

private:
  const std::shared_ptr<ration_queue> mQueue;
  const std::uint64_t mPool;
  const unsigned mPriority;
};

class brittle_guard
{
public:
  // aTimers must outlive the guard.
  brittle_guard(timer_service& aTimers, brittle_hooks aHooks);

  // Records an answer to a request. aTolerated: the rejections a second that
  // the upstream says it tolerates; nothing if it is not brittle. aRejected:
  // whether the answer is a rejection.
  void OnAnswer(upstream& aUpstream,
                std::optional<double> aTolerated,
                bool aRejected);

  // Records for how long a request has run that an upstream has answered.
  void OnServed(const upstream& aUpstream, std::chrono::milliseconds aTook);

  // Whether a request of this priority, zero being the most urgent, may be sent
  // to the upstream now.
  bool MaySend(upstream& aUpstream, unsigned aPriority);

  // Asks again when the request is about to be written, and counts it if it
  // may be sent.
  bool TakeSend(upstream& aUpstream);

  // Whether the upstreams of a pool are rationed.
  bool IsRationed(std::string_view aPool) const;

  // Time after which rations are drawn anew.
  std::chrono::milliseconds Period() const;

  // Lets less urgent requests of a pool wait until the result is destroyed.
  std::unique_ptr<ration_wait> StartWait(std::string_view aPool,
                                         unsigned aPriority);

  // Takes over what another gateway reports.
  void Merge(const brittle_report& aReported);

  // The pauses and rations that this gateway has begun or confirmed itself.
  brittle_report Report() const;

private:
  struct own_pause
  {
    std::uint64_t mUpstream = 0;
    steady_time mUntil{};
  };

  struct ration
  {
    double mTolerated = 0;
    steady_time mUntil{};
    // Until when this gateway vouches for it by answers that it has got.
    steady_time mOwnUntil{};
  };

  // How long requests to a pool run.
  struct mean_work
  {
    double mMeanMs = 0;
    unsigned mSamples = 0;
  };

  void OnRejected(upstream& aUpstream, double aTolerated);
  // Sends nothing to the upstream for aPause, and a random part of it more, so
  // that gateways don't return together.
  void Pause(upstream& aUpstream,
             std::chrono::milliseconds aPause,
             std::string_view aSource);
  // Returns whether the pool was not rationed before.
  bool Ration(std::uint64_t aPool,
              double aTolerated,
              std::chrono::milliseconds aTime,
              std::string_view aSource);
  const ration* FindRation(const upstream& aUpstream) const;
  void DrawRation(upstream& aUpstream, const ration& aRation) const;
  // Mean time of the requests to a pool; zero if unknown.
  std::chrono::milliseconds WorkOf(std::uint64_t aPool) const;
  // The requests that the upstream is expected to run at a time. After a
  // rejection they are those that ran then, and grow to its slots again.
  double ExpectedSlots(const upstream& aUpstream) const;

  timer_service& mTimers;
  const brittle_hooks mHooks;
  // Pauses after rejections of this gateway's requests; at most one for each
  // upstream.
  std::vector<own_pause> mOwn;
  // By pool.
  std::map<std::uint64_t, ration> mRations;
  // By pool.
  std::map<std::uint64_t, mean_work> mWork;
  const std::shared_ptr<ration_queue> mWaiting =
    std::make_shared<ration_queue>();
  peer_alert mAlert;
  steady_time mNextAlert{};
};

} // namespace sapphirespar::gateway
