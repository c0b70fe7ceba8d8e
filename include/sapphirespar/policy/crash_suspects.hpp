// Finds the prompt parts that crash upstreams. A part is suspected while
// upstreams end, one after the other, under requests with it and none survives
// one; the part that explains the most of these crashes is quarantined. The
// gateways of a fleet exchange what they see, as one of them alone sees few of
// the crashes. Single requests that come again and again are found in the same
// way: their fingerprint takes the place of a part.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/crash_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::policy {

// The parts of one prompt that other prompts may share, in one pool.
struct shared_parts
{
  std::string_view mPool;
  std::span<const std::uint64_t> mIds;
  // The same for requests that ask for the same; zero if not known.
  std::uint64_t mFingerprint = 0;
};

// What it takes to quarantine a part.
struct suspect_rules
{
  // Sum of the evidence needed. A crash is worth one with few parts at hand,
  // and less with more of them: then other requests may have caused it.
  double mEvidence = 2;
  // Answers of the pool that went on since the first of the crashes.
  std::ptrdiff_t mSurvivals = 8;
  // A part explains the crashes of which its requests are at hand at this
  // share.
  double mExplainedShare = 0.4;
  // Number of different requests that the crashes must be of, as a request that
  // is repeated says nothing of its parts.
  std::size_t mRequests = 2;
  // Two upstreams that end together count twice, more of them if each but the
  // first got the request after another one's end. Other answers need not have
  // gone on between crashes. Requests are held back while crashes that would
  // suffice are confirmed.
  bool mCountsEach = false;
  // Time from the quarantine to the first trial.
  std::chrono::seconds mFirstTrial{ 60 };
};

// Rules for fingerprints, which name one request, whoever sends it: it is
// rarely at hand at a crash by chance, and may be one of several that crash
// upstreams.
inline constexpr suspect_rules kFingerprintRules{
  0, 1, 0, 1, true, std::chrono::minutes(10)
};

// The quarantine of a part has begun or ended.
struct belief_change
{
  prompt_part mPart;
  bool mQuarantined = false;
  // Number of crashes that count against the part; zero if a peer reported the
  // quarantine.
  unsigned mCrashes = 0;
  bool mFromPeer = false;
};

class crash_suspects
{
public:
  // Returns whether this gateway makes the trials of a part. At most one
  // gateway of a fleet should.
  using trial_hook = std::function<bool(const prompt_part&)>;

  explicit crash_suspects(trial_hook aMakesTrials, suspect_rules aRules = {});

  // Records that an upstream broke the connection of a request. aAtBegin: after
  // the head and before any event of the answer. aSent: when the request was
  // sent, if known. Returns whether peers should be told at once.
  bool OnUpstreamLost(const shared_parts& aParts,
                      std::uint64_t aUpstream,
                      bool aAtBegin,
                      steady_time aNow,
                      std::optional<steady_time> aSent = std::nullopt);

  // Records that an answer went on after its begin, or is complete.
  void OnSurvival(const shared_parts& aParts, steady_time aNow);

  // Records that bytes came from an upstream.
  void OnSign(std::uint64_t aUpstream, steady_time aNow);

  // Returns how long to refuse a request; nothing if it may be sent. Counts the
  // request as a trial if it is let through with a quarantined part.
  std::optional<std::chrono::milliseconds> Refuse(const shared_parts& aParts,
                                                  steady_time aNow);

  // Returns whether a request that lost its upstream may be sent to another
  // one.
  bool MayRepeat(const shared_parts& aParts, steady_time aNow) const;

  // Adds what another gateway reported. Repetition changes nothing.
  void Merge(const crash_report& aReport, steady_time aNow);

  // What to report to other gateways.
  crash_report Report(steady_time aNow) const;

  // The parts that ended upstreams, by upstream.
  using cause_map = std::map<std::uint64_t, std::uint64_t>;

  // Draws conclusions from what is known. aRequests: the fingerprints of the
  // requests that are known to have ended upstreams; their crashes count as
  // theirs, whatever else was at hand. Returns the changes since the last call.
  // Call it several times a second.
  std::vector<belief_change> Update(steady_time aNow, cause_map aRequests = {});

  // What the quarantined parts have ended.
  cause_map Causes() const;

  std::size_t Quarantined() const { return mQuarantines.size(); }

private:
  struct crash
  {
    std::uint64_t mUpstream = 0;
    steady_time mEnded{};
    // Seen by this gateway itself.
    bool mOwn = false;
    // When the request was sent; unset if not known.
    std::optional<steady_time> mSent = std::nullopt;
    // See shared_parts.
    std::uint64_t mFingerprint = 0;
  };
  struct loss
  {
    std::string mPool;
    steady_time mEnded{};
    // When this gateway learned of it.
    steady_time mLearned{};
    // The latest sign of the upstream soon after the end.
    std::optional<steady_time> mSign;
    bool mOwn = false;
  };
  // Only own survivals are reported: times would drift if they were passed on.
  struct survival
  {
    steady_time mLast{};
    std::optional<steady_time> mLastOwn;
  };
  struct pool_survivals
  {
    std::set<steady_time> mTimes;
    std::optional<steady_time> mLastOwn;
  };
  struct quarantine
  {
    steady_time mSince{};
    steady_time mSeen{};
    unsigned mTrials = 0;
    steady_time mLastTrial{};
  };
  struct ended_upstream
  {
    std::uint64_t mKey = 0;
    // Number of parts of the requests at whose begin it ended.
    unsigned mParts = 0;
  };
  // Upstreams of a pool that ended together.
  using cluster = std::vector<ended_upstream>;
  // What counts against a part.
  struct chain
  {
    // All upstreams that ended under it.
    std::set<std::uint64_t> mUpstreams;
    // Those that ended one after the other.
    unsigned mCrashes = 0;
    // The requests that they were of. One that is not known counts as its own.
    std::set<std::uint64_t> mRequests;
    // Sum over the crashes: the fewer parts were there, the more each.
    double mEvidence = 0;
    // The first of them.
    steady_time mSince{};
  };

  // Returns how long to refuse a request whose part may be about to be
  // quarantined; nothing if it may be sent.
  std::optional<std::chrono::milliseconds> HoldBack(const shared_parts& aParts,
                                                    steady_time aNow) const;
  void AddCrash(const prompt_part& aPart,
                const crash& aCrash,
                steady_time aNow);
  void AddLoss(std::string_view aPool, const crash& aCrash, steady_time aNow);
  void AddSurvival(const prompt_part& aPart, steady_time aAt, bool aOwn);
  void AddPoolSurvival(std::string_view aPool, steady_time aAt, bool aOwn);
  bool AnySurvival(std::string_view aPool,
                   steady_time aAfter,
                   steady_time aUntil) const;
  std::ptrdiff_t CountSurvivals(std::string_view aPool,
                                steady_time aAfter) const;
  void AdoptQuarantine(const part_quarantine& aReported, steady_time aNow);
  // The unexplained ends of a pool's upstreams that were known at aLatest, in
  // order.
  std::vector<cluster> Clusters(std::string_view aPool,
                                steady_time aLatest) const;
  chain ChainOf(const prompt_part& aPart,
                std::span<const cluster> aClusters) const;
  void AddCrashes(std::span<const crash> aCrashes, chain& aChain) const;
  // The number of crashes of which each but the first is of a request that was
  // sent after the one before. aCrashes are in order of their ends.
  static unsigned CountInTurn(std::span<const crash> aCrashes);
  // The parts that explain the most crashes, if that is enough.
  std::vector<belief_change> NextQuarantines(steady_time aNow) const;
  bool Suffices(std::string_view aPool, const chain& aAgainst) const;
  void Forget(steady_time aNow);
  steady_time NextTrial(const quarantine& aQuarantine) const;

  const trial_hook mMakesTrials;
  const suspect_rules mRules;
  // In order of their ends, one per upstream. No list is empty.
  std::map<prompt_part, std::vector<crash>> mCrashes;
  std::map<std::uint64_t, loss> mLosses;
  // The latest survival of each part with crashes or a quarantine.
  std::map<prompt_part, survival> mSurvivals;
  // Survivals of any part since the first loss, by pool.
  std::map<std::string, pool_survivals, std::less<>> mPoolSurvivals;
  std::map<prompt_part, quarantine> mQuarantines;
  // As of the last Update.
  cause_map mKnownRequests;
  // Changes that Update has not returned yet.
  std::vector<belief_change> mChanges;
};

} // namespace sapphirespar::policy
