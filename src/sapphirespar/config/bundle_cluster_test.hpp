// Simulates the bundle controllers of several routers with one platform and one
// network in virtual time, for tests.
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

// One router. Restart replaces the state that a process loses when it ends.
struct cluster_router
{
  vm_id mVm;
  data_centre_id mDataCentre;
  incarnation_number mIncarnation = 0;
  std::unique_ptr<fake_platform> mPlatform;
  std::unique_ptr<peer_network> mLink;
  blackboard mBoard;
  std::unique_ptr<bundle_controller> mController;
  timer_subscription mHeartbeatTimer;
  // Versions that came into force since the last restart, in order.
  std::vector<bundle_version> mInForce;
};

class bundle_cluster
{
public:
  // Starts aRouters routers, assigned to aDataCentres data centres in turn.
  bundle_cluster(unsigned aRouters, unsigned aDataCentres);

  void Restart(std::size_t aRouter);
  void Advance(steady_duration aStep) { mTimers.Advance(aStep); }

  // Signs version aNumber and starts its acceptance through mOperator. The
  // acceptance proceeds as time advances. aVariant distinguishes bundles of the
  // same version.
  void Accept(std::uint64_t aNumber, unsigned aVariant = 1);

  // Returns whether every router has the platform's current version.
  bool AllCurrent() const;
  bundle_version Current() const;

  // Advances the time in small steps until AllCurrent is true. Returns the time
  // taken, or nothing if it exceeds aLimit.
  std::optional<steady_duration> AdvanceUntilAllCurrent(steady_duration aLimit);

  // Ends all faults of the platform clients and the network.
  void EndFaults();

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_network mNetwork{ mTimers };
  fake_platform mOperator{ mTimers, mStore };
  const signing_key mAnna = NewSigningKey();
  std::vector<cluster_router> mRouters;
  std::vector<std::unique_ptr<bundle_acceptance>> mAcceptances;
  std::vector<acceptance_result> mResults;
  acceptance_settings mAcceptance;

private:
  void SendHeartbeat(std::size_t aRouter);
  void FillMembers(cluster_router& aRouter) const;

  std::mt19937_64 mRandom{ 1 };
};

} // namespace sapphirespar
