// What traffic threads may know of control state: an immutable snapshot that
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

  // The bundle in force, or null before the first.
  const bundle_ptr& Bundle() const { return mBundle; }
  bool Leaving() const { return mLeaving; }
  const process_id& Self() const { return mSelf; }
  const data_centre_id& DataCentre() const { return mDataCentre; }
  const std::vector<member>& Members() const { return mMembers; }

  // Returns null when the account, class or upstream is not declared.
  const client_account* AccountByKeyHash(std::string_view aHash) const;
  const request_class* Class(std::string_view aName) const;
  const upstream_spec* Upstream(const upstream_id& aId) const;

  // Whether any upstream is declared for the pool, a model's name or a
  // service's with a leading '/'.
  bool HasPool(const std::string& aPool) const;

private:
  process_id mSelf;
  data_centre_id mDataCentre;
  bool mLeaving = false;
  std::vector<member> mMembers;
  // Keeps alive what the indexes below point into.
  bundle_ptr mBundle;
  std::unordered_map<std::string_view, const client_account*> mAccounts;
  std::unordered_map<std::string_view, const request_class*> mClasses;
  std::unordered_map<upstream_id, const upstream_spec*> mUpstreams;
  std::unordered_map<std::string, unsigned> mPools;
};

using snapshot_ptr = std::shared_ptr<const traffic_snapshot>;

// Returns the pools that an upstream serves.
std::vector<std::string> PoolsOf(const upstream_spec& aUpstream);

// Holds the current snapshot; written by the control thread, read by any.
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
