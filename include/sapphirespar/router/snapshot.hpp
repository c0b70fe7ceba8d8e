// The control state that traffic threads may read: an immutable snapshot, which
// the control thread replaces as a whole.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <atomic>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::router {

class traffic_snapshot
{
public:
  explicit traffic_snapshot(const blackboard& aBoard);

  // Returns the bundle in force, or null before the first bundle.
  const bundle_ptr& Bundle() const { return mBundle; }
  bool Leaving() const { return mLeaving; }
  const process_id& Self() const { return mSelf; }
  const data_centre_id& DataCentre() const { return mDataCentre; }
  const std::vector<member>& Members() const { return mMembers; }

  // These return null if the account, class or upstream is not declared.
  const client_account* AccountByKeyHash(std::string_view aHash) const;
  const request_class* Class(std::string_view aName) const;
  const upstream_spec* Upstream(const upstream_id& aId) const;

  // Whether any upstream is declared for the pool. The name of a pool is that
  // of a model, or of a service with a leading '/'.
  bool HasPool(const std::string& aPool) const;

private:
  process_id mSelf;
  data_centre_id mDataCentre;
  bool mLeaving = false;
  std::vector<member> mMembers;
  // Owns the objects that the indexes below point to.
  bundle_ptr mBundle;
  std::unordered_map<std::string_view, const client_account*> mAccounts;
  std::unordered_map<std::string_view, const request_class*> mClasses;
  std::unordered_map<upstream_id, const upstream_spec*> mUpstreams;
  // Number of upstreams that serve each pool.
  std::unordered_map<std::string, unsigned> mPools;
};

using snapshot_ptr = std::shared_ptr<const traffic_snapshot>;

// Returns the pools that an upstream serves.
std::vector<std::string> PoolsOf(const upstream_spec& aUpstream);

// Holds the current snapshot. The control thread stores it; any thread may load
// it.
class snapshot_cell
{
public:
  snapshot_ptr Load() const { return mSnapshot.load(); }
  void Store(snapshot_ptr aSnapshot) { mSnapshot.store(std::move(aSnapshot)); }

private:
  // Never null once the router has started.
  std::atomic<snapshot_ptr> mSnapshot;
};

} // namespace sapphirespar::router
