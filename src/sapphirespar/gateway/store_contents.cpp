// Applies what the store or other gateways tell of the store's contents, and
// keeps track of how recent it is.
#include "store_reader_state.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

std::int64_t
Milliseconds(boot_clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string_view
ToText(list_completeness aCompleteness)
{
  switch (aCompleteness) {
    case list_completeness::Complete:
      return "complete";
    case list_completeness::PossiblyPartial:
      return "partial";
    case list_completeness::Restored:
      return "restored";
    case list_completeness::RestoredComplete:
      break;
  }
  return "restored_complete";
}

std::string
JoinNames(std::span<const upstream_id> aIds)
{
  std::string names;
  for (const auto& id : aIds) {
    names += names.empty() ? "" : ",";
    names += id.mText;
  }
  return names;
}

} // namespace

// Whether the local data are recent enough to wait for the readers.
bool
store_reader::state::IsRecent() const
{
  return HasBoth() && RoutingAge() < mSettings.mMaximumAge &&
         UpstreamsAge() < mSettings.mMaximumAge;
}

bool
store_reader::state::IsKnown(const store_summary& aSummary) const
{
  return mUpstreamsRead && mRouting.Version() == aSummary.mRoutingVersion &&
         mUpstreams.Digest() == aSummary.mUpstreamsDigest;
}

// Tracks whether the store's contents reach this gateway, directly or through
// a reader.
void
store_reader::state::TrackAvailability(bool aReachable,
                                       std::string_view aDetail)
{
  const auto now = mHooks.mNow();
  if (aReachable && mUnavailable) {
    LogEvent(log_level::Info,
             "store_regained",
             { { "away_ms", Milliseconds(now - mUnavailableSince) },
               { "detail", aDetail } });
    if (now - mUnavailableSince >= mSettings.mMinimumOutage) {
      mAvailableAgainAt = now;
    }
  } else if (!aReachable && !mUnavailable) {
    LogEvent(
      log_level::Warning,
      "store_lost",
      { { "detail", aDetail }, { "routing_version", mRouting.Version() } });
    mUnavailableSince = now;
  }
  mUnavailable = !aReachable;
}

known_versions
store_reader::state::KnownVersions() const
{
  known_versions known{ mRouting.Version(), 0 };
  if (mUpstreamsRead && !mNeedsFullList) {
    known.mUpstreamsDigest = mUpstreams.Digest();
  }
  return known;
}

// The snapshot was made after aRequestedAt, so counting its ages from there
// never makes the data look fresher than they are.
void
store_reader::state::ApplySnapshot(store_snapshot aSnapshot,
                                   boot_time aRequestedAt)
{
  NoteEra(aSnapshot.mEra, "peer");
  LearnFormer(aSnapshot, aRequestedAt);
  const auto routingRead = aRequestedAt - aSnapshot.mRoutingAge;
  if (aSnapshot.mRouting.empty() &&
      aSnapshot.mRoutingVersion == mRouting.Version()) {
    mRouting.Confirm(routingRead);
  } else {
    ApplyRouting(aSnapshot.mRouting, routingRead, "peer");
  }
  const auto read = aRequestedAt - aSnapshot.mUpstreamsAge;
  if (mUpstreamsRead && read <= *mUpstreamsRead) {
    return;
  }
  if (aSnapshot.mDelta) {
    auto entries = mUpstreams.WithDelta(*aSnapshot.mDelta);
    if (!entries) {
      // The local list has changed since the request.
      return;
    }
    aSnapshot.mUpstreams = *std::move(entries);
  }
  mUpstreamsRead = read;
  // After a restore, the sender may know less of what has left than this
  // gateway, so the lists may differ.
  const bool mayDiffer = mRestores.MayHoldFormerEntries(mHooks.mNow());
  const auto completeness =
    mayDiffer ? CompletenessNow() : list_completeness::Complete;
  ApplyEntries(aSnapshot.mUpstreams, completeness, "peer");
  mNeedsFullList =
    !mayDiffer && mUpstreams.Digest() != aSnapshot.mUpstreamsDigest;
  if (mNeedsFullList) {
    LogEvent(log_level::Warning,
             "upstreams_differ",
             { { "digest", mUpstreams.Digest() },
               { "peer", aSnapshot.mUpstreamsDigest },
               { "delta", static_cast<int>(aSnapshot.mDelta.has_value()) } });
  }
}

// Takes over what the sender of a snapshot knows of a restore before this
// gateway's start.
void
store_reader::state::LearnFormer(const store_snapshot& aSnapshot,
                                 boot_time aRequestedAt)
{
  const bool lacksFormer =
    !mUpstreamsRead || mRestores.IsAssumed(mHooks.mNow());
  const auto change = lacksFormer ? mUpstreams.ApplyFormer(aSnapshot.mUpstreams,
                                                           aSnapshot.mFormer)
                                  : directory_change{};
  std::optional<boot_time> restoredAt;
  if (aSnapshot.mRestoreAge) {
    restoredAt = aRequestedAt - *aSnapshot.mRestoreAge;
  }
  mRestores.NotePeerRestore(aSnapshot.mEra, restoredAt);
  LogUpstreams(change, list_completeness::Restored, "peer");
}

void
store_reader::state::NoteEra(store_era aEra, std::string_view aSource)
{
  const auto now = mHooks.mNow();
  if (mRestores.Note(aEra, now, aSource)) {
    mHooks.mRestored();
  }
}

// Applies a routing that was read from the store. Soon after a restore a
// later one may have been lost that its author has yet to write again, so
// the read does not confirm it.
void
store_reader::state::ApplyStoreRouting(const std::string& aValue,
                                       boot_time aSent)
{
  const bool proves = !mRestores.MayLackChanges(aSent);
  ApplyRouting(aValue, proves ? aSent : boot_time{}, "store");
}

// Applies a routing if it is newer than the active one, or confirms it as of
// aSent if it is the same.
void
store_reader::state::ApplyRouting(const std::string& aValue,
                                  boot_time aSent,
                                  std::string_view aSource)
{
  if (mRouting.Table() && aValue == mRoutingValue) {
    mRouting.Confirm(aSent);
    return;
  }
  auto config = mProtocol.mReadRouting(aValue);
  if (!config) {
    LogEvent(log_level::Error,
             "routing_unreadable",
             { { "source", aSource }, { "bytes", aValue.size() } });
    return;
  }
  if (config->mVersion < mRouting.Version()) {
    LogFormerRouting(config->mVersion, aSource);
    return;
  }
  const auto before = mRouting.Version();
  auto table = std::make_shared<policy::route_table>(std::move(*config));
  const auto routes = table->Config().mRoutes.size();
  const auto accounts = table->Config().mAccounts.size();
  mRoutingValue = aValue;
  if (!mRouting.Apply(std::move(table), aSent)) {
    return;
  }
  LogEvent(log_level::Info,
           "routing_changed",
           { { "source", aSource },
             { "version", mRouting.Version() },
             { "before", before },
             { "routes", routes },
             { "accounts", accounts },
             { "read_age_ms", Milliseconds(mHooks.mNow() - aSent) } });
  mHooks.mChanged();
}

// Logs each older version once.
void
store_reader::state::LogFormerRouting(routing_version aVersion,
                                      std::string_view aSource)
{
  if (aVersion == mLoggedFormer) {
    return;
  }
  mLoggedFormer = aVersion;
  LogEvent(log_level::Warning,
           "routing_older",
           { { "source", aSource },
             { "version", mRouting.Version() },
             { "told", aVersion } });
}

// Logs each entry that can't be read once, and lets an upstream that was listed
// under its name before drain: unlike one whose entry is missing, it is not
// named by the store any more.
void
store_reader::state::AddUnreadable(
  std::map<std::string, std::string> aUnreadable,
  std::vector<upstream_entry>& aEntries)
{
  for (const auto& [name, reason] : aUnreadable) {
    const auto logged = mUnreadable.find(name);
    if (logged == mUnreadable.end() || logged->second != reason) {
      LogEvent(log_level::Warning,
               "upstream_entry_unreadable",
               { { "name", name }, { "reason", reason } });
    }
  }
  if (!aUnreadable.empty()) {
    for (auto& known : mUpstreams.Entries()) {
      if (aUnreadable.contains(known.mId.mText)) {
        known.mDraining = true;
        aEntries.push_back(std::move(known));
      }
    }
  }
  mUnreadable = std::move(aUnreadable);
}

void
store_reader::state::ApplyStoreList(std::span<const platform_object> aObjects,
                                    boot_time aSent)
{
  if (mUpstreamsRead && aSent < *mUpstreamsRead) {
    return;
  }
  std::vector<upstream_entry> entries;
  std::map<std::string, std::string> unreadable;
  for (const auto& object : aObjects) {
    if (auto entry =
          mProtocol.mReadUpstream(object.mKey.mName, object.mValue)) {
      entries.push_back(std::move(*entry));
    } else {
      unreadable[object.mKey.mName] =
        object.mValue.empty() ? "no value that can be read" : "no upstream";
    }
  }
  AddUnreadable(std::move(unreadable), entries);
  mUpstreamsRead = aSent;
  ApplyEntries(entries, CompletenessNow(), "store");
}

// How to take a list that the store returns now.
list_completeness
store_reader::state::CompletenessNow() const
{
  const auto now = mHooks.mNow();
  const bool justAvailable =
    mAvailableAgainAt && now - *mAvailableAgainAt < mSettings.mOutageGrace;
  const bool longUnavailable =
    mUnavailable && now - mUnavailableSince >= mSettings.mMinimumOutage;
  const bool partial =
    justAvailable || longUnavailable || mRestores.MayLackChanges(now);
  if (mRestores.MayHoldFormerEntries(now)) {
    return partial ? list_completeness::Restored
                   : list_completeness::RestoredComplete;
  }
  return partial ? list_completeness::PossiblyPartial
                 : list_completeness::Complete;
}

void
store_reader::state::ApplyEntries(std::span<const upstream_entry> aEntries,
                                  list_completeness aCompleteness,
                                  std::string_view aSource)
{
  LogUpstreams(
    mUpstreams.ApplyList(aEntries, aCompleteness), aCompleteness, aSource);
}

void
store_reader::state::LogUpstreams(const directory_change& aChange,
                                  list_completeness aCompleteness,
                                  std::string_view aSource)
{
  if (aChange.Empty()) {
    return;
  }
  LogEvent(
    log_level::Info,
    "upstreams_changed",
    { { "source", aSource },
      { "added", JoinNames(aChange.mAdded) },
      { "draining", JoinNames(aChange.mDraining) },
      { "gone", JoinNames(aChange.mRemoved) },
      { "known", mUpstreams.Size() },
      { "list", ToText(aCompleteness) },
      { "read_age_ms", Milliseconds(mHooks.mNow() - *mUpstreamsRead) } });
  mHooks.mChanged();
}

bool
store_reader::state::HasBoth() const
{
  return mRouting.Table() && mUpstreamsRead.has_value();
}

// Ages are rounded up, so that data never look fresher than they are.
milliseconds
store_reader::state::RoutingAge() const
{
  return std::chrono::ceil<milliseconds>(
    mRouting.Age(mHooks.mNow()).value_or(std::chrono::hours(24)));
}

milliseconds
store_reader::state::UpstreamsAge() const
{
  return std::chrono::ceil<milliseconds>(mHooks.mNow() - *mUpstreamsRead);
}

} // namespace sapphirespar::gateway
