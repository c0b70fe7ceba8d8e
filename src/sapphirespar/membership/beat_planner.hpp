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

  // Whether this router exchanges members with other data centres.
  bool IsRelay() const;

  // Returns the beats of one period; aOwn is what this router says of itself.
  std::vector<planned_beat> Plan(const heartbeat& aOwn);

  // Tells this data centre that a member elsewhere is heard or lost.
  void SpreadHeard(const process_id& aProcess);
  void SpreadLost(const process_id& aProcess);

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

  std::vector<planned_beat> PlanFullMesh(const heartbeat& aOwn) const;
  void PlanLocal(const heartbeat& aOwn, std::vector<planned_beat>& aPlan);
  void PlanRelay(const heartbeat& aOwn, std::vector<planned_beat>& aPlan) const;
  std::vector<const member*> Locals() const;
  std::size_t LocalPeriods() const;
  void Spread(const process_id& aProcess, bool aLost);
  void AddNews(heartbeat& aBeat) const;
  void AddSlice(heartbeat& aBeat) const;

  const blackboard& mBoard;
  std::chrono::milliseconds mPeriod;
  std::uint64_t mTick = 0;
  std::vector<news_item> mNews;
  std::set<vm_id> mNewcomers;
};

// Returns the relay of a data centre as this router sees it, if it knows any
// router there that may be alive.
std::optional<vm_id> RelayOf(const data_centre_id& aDataCentre,
                             const blackboard& aBoard);

} // namespace sapphirespar::membership
