// Whom to send which heartbeat, for use by membership_controller.cpp only.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/membership/member_table.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace sapphirespar::membership {

struct planned_beat
{
  vm_id mTo;
  heartbeat mBeat;
};

class beat_planner
{
public:
  // aBoard outlives the planner.
  beat_planner(const blackboard& aBoard, std::chrono::milliseconds aPeriod);

  // Whether every router beats to every other.
  bool IsFullMesh() const;

  // Looks at the board anew at the start of a period. What the functions below
  // return stays the same until the next one.
  void BeginPeriod();

  // Whether this router exchanges members with other data centres.
  bool IsRelay() const { return mIsRelay; }

  // Returns the beats of one period; aOwn is what this router says of itself.
  std::vector<planned_beat> Plan(const heartbeat& aOwn);

  // Tells this data centre that a member elsewhere is heard or lost.
  void SpreadHeard(const process_id& aProcess);
  void SpreadLost(const process_id& aProcess);

  // Tells the other relays that a member of this data centre is heard or lost.
  void RelayHeard(const process_id& aProcess);
  void RelayLost(const process_id& aProcess);

  // Tells another data centre of every member of this one.
  void RelayAll(const data_centre_id& aTo);

  // Tells a newcomer of this data centre everything about the others.
  void Greet(const vm_id& aNewcomer);

  // How long this member may be silent, from how often it should be heard.
  silence_limits LimitsFor(const member& aMember) const;

private:
  // One piece of news and for how many more periods it is sent.
  struct news_item
  {
    process_id mProcess;
    bool mLost = false;
    std::size_t mPeriodsLeft = 0;
  };
  using news_list = std::vector<news_item>;

  static void AddNews(const news_list& aNews, heartbeat& aBeat);
  static void AgeNews(news_list& aNews);
  void PlanFullMesh(const heartbeat& aOwn,
                    std::vector<planned_beat>& aPlan) const;
  void PlanLocal(const heartbeat& aOwn, std::vector<planned_beat>& aPlan) const;
  void PlanGreetings(const heartbeat& aOwn, std::vector<planned_beat>& aPlan);
  void PlanRelay(const heartbeat& aOwn, std::vector<planned_beat>& aPlan);
  std::optional<vm_id> FarRelay(const data_centre_id& aDataCentre) const;
  void AddSlice(heartbeat& aBeat) const;
  void AddLocals(heartbeat& aBeat) const;
  std::vector<process_id> LiveElsewhere() const;

  const blackboard& mBoard;
  std::chrono::milliseconds mPeriod;
  std::uint64_t mTick = 0;
  bool mIsRelay = false;
  // The other routers of this data centre, in order of their names.
  std::vector<vm_id> mLocals;
  // Periods between two beats of one pair of them.
  std::size_t mLocalPeriods = 1;
  news_list mLocalNews;
  news_list mRelayNews;
  std::set<vm_id> mNewcomers;
  // Data centres that are told of every member in this period.
  std::set<data_centre_id> mOweAll;
};

// Returns the relay of a data centre as this router sees it, if it knows any
// router there that may be alive.
std::optional<vm_id> RelayOf(const data_centre_id& aDataCentre,
                             const blackboard& aBoard);

} // namespace sapphirespar::membership
