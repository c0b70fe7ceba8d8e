// Test fixture: gateways that read a fake store under virtual time, alone or
// through each other.
#pragma once

#include "sapphirespar/gateway/store_reader.hpp"

#include "store_snapshot_codec.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <charconv>

namespace sapphirespar::gateway {

// Protocol in which a routing is its version and an upstream entry its port,
// followed by "d" if it is draining.
inline protocol
NumberProtocol()
{
  protocol result;
  result.mRoutingKind = "config";
  result.mRoutingName = "main";
  result.mUpstreamKind = "servers";
  result.mReadRouting =
    [](std::string_view aValue) -> std::optional<routing_config> {
    routing_config config;
    std::from_chars(
      aValue.data(), aValue.data() + aValue.size(), config.mVersion);
    return config.mVersion > 0 ? std::optional(config) : std::nullopt;
  };
  result.mReadUpstream =
    [](std::string_view aName,
       std::string_view aValue) -> std::optional<upstream_entry> {
    upstream_entry entry;
    entry.mId = { std::string(aName) };
    entry.mPool = "pool";
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), entry.mPort);
    entry.mDraining = aValue.ends_with('d');
    return entry.mPort != 0 ? std::optional(entry) : std::nullopt;
  };
  return result;
}

// A gateway with its own connection to the store.
struct test_gateway
{
  test_gateway(manual_timer_service& aTimers,
               std::shared_ptr<fake_store> aStore,
               store_reader_settings aSettings = {})
    : mTimers(aTimers)
    , mPlatform(aTimers, std::move(aStore))
    , mReader(mPlatform,
              aTimers,
              mProtocol,
              mRouting,
              mUpstreams,
              aSettings,
              Hooks())
  {
  }

  boot_time Now() const { return boot_time(mTimers.Now().time_since_epoch()); }

  std::size_t Members() const { return mUpstreams.Members("pool").size(); }

  store_reader_hooks Hooks()
  {
    store_reader_hooks hooks;
    hooks.mNow = [this] { return Now(); };
    hooks.mReaders = [this] {
      std::vector<vm_id> readers;
      if (mPeer) {
        readers.push_back({ "peer" });
      }
      if (mSecondPeer) {
        readers.push_back({ "second" });
      }
      return readers;
    };
    hooks.mIsReader = [this] { return !mPeer || mIsSecond; };
    hooks.mQuerySummary = [this](const vm_id& aVm, summary_callback aDone) {
      ++mQueries;
      const auto* queried = aVm.mText == "second" ? mSecondPeer : mPeer;
      Later([this, queried, aDone] {
        aDone(mPeerAnswers ? queried->mReader.Summary() : std::nullopt);
      });
    };
    hooks.mFetch = [this](const std::optional<vm_id>& aVm,
                          const known_versions& aKnown,
                          snapshot_callback aDone) {
      const auto target = SnapshotTarget(aKnown);
      const auto query = wire::SplitTarget(target).mQuery;
      const bool second = aVm && aVm->mText == "second";
      Later([this, known = ParseKnownVersions(query), second, aDone] {
        const auto* from = second ? mSecondPeer : mPeer ? mPeer : mOther;
        const auto snapshot =
          from && mPeerAnswers ? from->mReader.Snapshot(known) : std::nullopt;
        const auto text =
          snapshot ? EncodeStoreSnapshot(*snapshot, mPacker) : std::string();
        mSnapshotBytes = text.size();
        aDone(snapshot ? DecodeStoreSnapshot(text) : std::nullopt);
      });
    };
    hooks.mChanged = [this] { ++mChanges; };
    hooks.mRestored = [this] { ++mRestores; };
    return hooks;
  }

  void Later(std::function<void()> aWork)
  {
    mPending.push_back(mTimers.After(mPeerDelay, std::move(aWork)));
  }

  manual_timer_service& mTimers;
  protocol mProtocol = NumberProtocol();
  routing_state mRouting;
  upstream_directory mUpstreams;
  fake_platform mPlatform;
  // First reader that this gateway queries; null if this is the first reader.
  test_gateway* mPeer = nullptr;
  // Second reader, queried if mPeer has no recent data; may be null.
  test_gateway* mSecondPeer = nullptr;
  // This gateway is itself the second reader.
  bool mIsSecond = false;
  // Provides the snapshot if no gateway is named and mPeer is null.
  test_gateway* mOther = nullptr;
  bool mPeerAnswers = true;
  std::chrono::milliseconds mPeerDelay{ 1 };
  unsigned mQueries = 0;
  // Size of the last snapshot fetched.
  std::size_t mSnapshotBytes = 0;
  unsigned mChanges = 0;
  unsigned mRestores = 0;
  routing_packer mPacker;
  std::vector<timer_subscription> mPending;
  store_reader mReader;
};

// A store with a routing and two upstreams.
struct store_reader_test_store
{
  store_reader_test_store()
  {
    Write({ "config", "main" }, "7");
    Write({ "servers", "a" }, "80");
    Write({ "servers", "b" }, "81");
  }

  void Write(object_key aKey, std::string aValue) const
  {
    const auto* known = mStore->Find(aKey);
    const bool exists = known && !known->mDeleted;
    const auto version = exists ? known->mVersion : kNoObject;
    mStore->Write(aKey, std::move(aValue), false, version);
  }

  void Remove(object_key aKey) const
  {
    mStore->Write(aKey, {}, true, mStore->Find(aKey)->mVersion);
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
};

class store_reader_test
  : public testing::Test
  , protected store_reader_test_store
{};

} // namespace sapphirespar::gateway
