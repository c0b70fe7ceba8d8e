// Several routers' bundle controllers with one platform and one network under
// virtual time, for tests.
#pragma once

#include "sapphirespar/config/bundle_acceptance.hpp"
#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/model/fake_network.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar {

// One router: what a process holds is made anew by Restart.
struct world_router
{
  vm_id mVm;
  data_centre_id mDataCentre;
  incarnation_number mIncarnation = 0;
  std::unique_ptr<fake_platform> mPlatform;
  std::unique_ptr<peer_network> mLink;
  blackboard mBoard;
  std::unique_ptr<bundle_controller> mController;
  timer_subscription mBeat;
  // Versions that came into force in this life, in order.
  std::vector<bundle_version> mInForce;
};

class bundle_world
{
public:
  // Spreads aRouters over aDataCentres in turn and starts them.
  bundle_world(unsigned aRouters, unsigned aDataCentres);

  void Restart(std::size_t aRouter);
  void Advance(steady_duration aStep) { mTimers.Advance(aStep); }

  // Signs the version after aBase and starts its acceptance on a client of
  // its own; the acceptance goes on as time advances.
  void Accept(std::uint64_t aNumber, unsigned aVariant = 1);

  // Whether each router has the version that stands at the platform.
  bool AllCurrent() const;
  bundle_version Current() const;

  // Advances in small steps until all are current; returns the time taken, or
  // nothing after aLimit.
  std::optional<steady_duration> UntilAllCurrent(steady_duration aLimit);

  // Ends every fault.
  void Heal();

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_network mNetwork{ mTimers };
  fake_platform mOperator{ mTimers, mStore };
  const signing_key mAnna = NewSigningKey();
  std::vector<world_router> mRouters;
  std::vector<std::unique_ptr<bundle_acceptance>> mAcceptances;
  std::vector<acceptance_result> mVerdicts;
  acceptance_settings mAcceptance;

private:
  void Beat(std::size_t aRouter);
  void FillMembers(world_router& aRouter) const;

  std::mt19937_64 mRandom{ 1 };
};

} // namespace sapphirespar
