// Reads and checks the TOML form of a bundle.
#include "sapphirespar/config/bundle_file.hpp"

#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/config/toml_reader.hpp"
#include "signer_table.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace sapphirespar {
namespace {

constexpr std::array<text_choice<upstream_kind>, 2> kKinds{ {
  { "engine", upstream_kind::Engine },
  { "service", upstream_kind::Service },
} };
constexpr std::array<text_choice<at_most_once_mode>, 3> kOnceModes{ {
  { "none", at_most_once_mode::None },
  { "token", at_most_once_mode::Token },
  { "claim", at_most_once_mode::Claim },
} };

constexpr std::int64_t kMillisecondsPerDay = 24LL * 60 * 60 * 1000;
constexpr integer_bounds kTierBounds{ 1, 3 };
constexpr integer_bounds kTargetBounds{ 1, kMillisecondsPerDay };
constexpr integer_bounds kPercentBounds{ 0, 100 };
constexpr integer_bounds kCountBounds{ 1, 1000000 };
constexpr integer_bounds kReplicaBounds{ 0, kEveryEngine };
constexpr integer_bounds kVersionBounds{ 0, 1LL << 53 };
constexpr real_bounds kWeightBounds{ 0, 1e6 };
constexpr real_bounds kRateBounds{ 0.001, 1e6 };

unsigned
ReadCount(toml_table& aTable,
          std::string_view aKey,
          integer_bounds aBounds,
          unsigned aFallback)
{
  return static_cast<unsigned>(aTable.Integer(aKey, aBounds, aFallback));
}

std::chrono::milliseconds
ReadTarget(toml_table& aTable,
           std::string_view aKey,
           std::chrono::milliseconds aFallback)
{
  return aTable.Milliseconds(aKey, kTargetBounds, aFallback.count());
}

// Reads the identifier of an item. Fails if an earlier item has the same one.
template<class Item>
auto
ReadId(toml_table& aTable, const std::vector<Item>& aEarlier)
{
  decltype(Item::mId) id{ aTable.Text("id") };
  if (std::ranges::find(aEarlier, id, &Item::mId) != aEarlier.end()) {
    aTable.Fail("id", "\"" + id.mText + "\" is used twice");
  }
  return id;
}

// Reads a list of identifiers. Fails if one of them is not among aKnown.
template<class Item>
auto
ReadReferences(toml_table& aTable,
               std::string_view aKey,
               const std::vector<Item>& aKnown,
               std::string_view aItemKind)
{
  std::vector<decltype(Item::mId)> references;
  for (const auto& text : aTable.Texts(aKey)) {
    references.push_back({ text });
    const auto& id = references.back();
    if (std::ranges::find(aKnown, id, &Item::mId) == aKnown.end()) {
      aTable.Fail(aKey,
                  "no " + std::string(aItemKind) + " \"" + text +
                    "\" in this bundle");
    }
  }
  return references;
}

void
CheckOnce(toml_table& aTable, const request_class& aClass)
{
  if (!aClass.mIdempotent && aClass.mOnce == at_most_once_mode::None) {
    aTable.Fail("once",
                "a class that is not idempotent needs \"token\" or \"claim\"");
  }
  if (aClass.mIdempotent && aClass.mOnce != at_most_once_mode::None) {
    aTable.Fail("once", "an idempotent class takes only \"none\"");
  }
}

request_class
ReadClass(toml_table& aTable, const bundle& aBundle)
{
  request_class item;
  item.mId = ReadId(aTable, aBundle.mClasses);
  item.mTier = static_cast<unsigned>(aTable.Integer("tier", kTierBounds));
  item.mKind = aTable.Choice<upstream_kind>("kind", kKinds, item.mKind);
  item.mIdempotent = aTable.Flag("idempotent");
  item.mOnce = aTable.Choice<at_most_once_mode>("once", kOnceModes, item.mOnce);
  item.mFirstTokenTarget =
    ReadTarget(aTable, "first_token_ms", item.mFirstTokenTarget);
  item.mAnswerTarget = ReadTarget(aTable, "answer_ms", item.mAnswerTarget);
  item.mMinimumSharePercent = ReadCount(
    aTable, "minimum_share_percent", kPercentBounds, item.mMinimumSharePercent);
  item.mQueueLimit =
    ReadCount(aTable, "queue_limit", kCountBounds, item.mQueueLimit);
  item.mWeight = aTable.Real("weight", kWeightBounds, item.mWeight);
  CheckOnce(aTable, item);
  if (item.mFirstTokenTarget > item.mAnswerTarget) {
    aTable.Fail("first_token_ms", "must not be greater than answer_ms");
  }
  return item;
}

void
CheckShares(toml_table& aTable, const bundle& aBundle)
{
  const auto sum =
    std::accumulate(aBundle.mClasses.begin(),
                    aBundle.mClasses.end(),
                    0U,
                    [](unsigned aSum, const request_class& aClass) {
                      return aSum + aClass.mMinimumSharePercent;
                    });
  if (sum > 100) {
    aTable.Fail("classes",
                "minimum_share_percent of all classes sum to " +
                  std::to_string(sum) + ", over 100");
  }
}

client_account
ReadAccount(toml_table& aTable, const bundle& aBundle)
{
  client_account item;
  item.mId = ReadId(aTable, aBundle.mAccounts);
  item.mKeyHash = aTable.Text("key_hash");
  if (!IsPublicKey(item.mKeyHash)) {
    aTable.Fail("key_hash",
                "expected the SHA-256 of the bearer key in 64 lower-case "
                "hexadecimal digits");
  }
  if (FindAccountByKeyHash(aBundle, item.mKeyHash)) {
    aTable.Fail("key_hash", "another account has the same key");
  }
  item.mClasses = ReadReferences(aTable, "classes", aBundle.mClasses, "class");
  item.mRequestsPerSecond =
    aTable.Real("requests_per_second", kRateBounds, item.mRequestsPerSecond);
  item.mConcurrency =
    ReadCount(aTable, "concurrency", kCountBounds, item.mConcurrency);
  return item;
}

model_spec
ReadModel(toml_table& aTable, const bundle& aBundle)
{
  model_spec item;
  item.mId = ReadId(aTable, aBundle.mModels);
  item.mMaximumReplicas =
    ReadCount(aTable, "maximum_replicas", kReplicaBounds, kEveryEngine);
  item.mMinimumReplicas = ReadCount(
    aTable, "minimum_replicas", kReplicaBounds, item.mMaximumReplicas);
  if (item.mMinimumReplicas > item.mMaximumReplicas) {
    aTable.Fail("minimum_replicas",
                "must not be greater than maximum_replicas");
  }
  return item;
}

void
CheckUpstreamKind(toml_table& aTable, const upstream_spec& aItem)
{
  if (aItem.mKind == upstream_kind::Engine) {
    if (aItem.mModels.empty()) {
      aTable.Fail("models", "an engine needs at least one model");
    }
    if (!aItem.mService.empty()) {
      aTable.Fail("service",
                  "only an upstream of kind \"service\" has a service");
    }
    return;
  }
  if (!aItem.mModels.empty()) {
    aTable.Fail("models", "only an upstream of kind \"engine\" has models");
  }
  if (aItem.mService.empty()) {
    aTable.Fail("service",
                "an upstream of kind \"service\" needs a service name");
  }
  if (aItem.mService.find('/') != std::string::npos) {
    aTable.Fail("service", "must not contain \"/\"");
  }
}

std::string
ReadAddress(toml_table& aTable)
{
  auto address = aTable.Text("address");
  in6_addr parsed{};
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1 &&
      inet_pton(AF_INET6, address.c_str(), &parsed) != 1) {
    aTable.Fail("address", "expected an IP address, found \"" + address + "\"");
  }
  return address;
}

upstream_spec
ReadUpstream(toml_table& aTable, const bundle& aBundle)
{
  upstream_spec item;
  item.mId = ReadId(aTable, aBundle.mUpstreams);
  item.mKind = aTable.Choice<upstream_kind>("kind", kKinds, item.mKind);
  item.mDataCentre = { aTable.Text("data_centre") };
  item.mAddress = ReadAddress(aTable);
  item.mPort = static_cast<std::uint16_t>(aTable.Integer("port", kPortBounds));
  item.mSlots = ReadCount(aTable, "slots", kCountBounds, item.mSlots);
  item.mModels = ReadReferences(aTable, "models", aBundle.mModels, "model");
  item.mService = aTable.Text("service", "");
  item.mChecksFencing = aTable.Flag("checks_fencing", item.mChecksFencing);
  item.mLeaving = aTable.Flag("leaving", item.mLeaving);
  CheckUpstreamKind(aTable, item);
  return item;
}

// Appends an item for each table under aKey, read by aRead.
template<class Item>
void
ReadItems(toml_table& aRoot,
          std::string_view aKey,
          std::vector<Item>& aItems,
          const bundle& aBundle,
          Item (*aRead)(toml_table&, const bundle&))
{
  aRoot.EachTable(aKey, [&](toml_table& aTable) {
    aItems.push_back(aRead(aTable, aBundle));
  });
}

void
ReadAll(toml_table& aRoot, bundle& aBundle)
{
  aBundle.mVersion.mEpoch =
    static_cast<std::uint64_t>(aRoot.Integer("epoch", kVersionBounds, 1));
  aBundle.mVersion.mNumber =
    static_cast<std::uint64_t>(aRoot.Integer("number", kVersionBounds, 0));
  aBundle.mSigners = ReadSigners(aRoot, "signers");
  if (aBundle.mSigners.empty()) {
    aRoot.Fail("signers",
               "expected at least one signer, who can sign the next bundle");
  }
  ReadItems(aRoot, "classes", aBundle.mClasses, aBundle, ReadClass);
  if (aBundle.mClasses.empty()) {
    aRoot.Fail("classes", "expected at least one class");
  }
  CheckShares(aRoot, aBundle);
  ReadItems(aRoot, "models", aBundle.mModels, aBundle, ReadModel);
  ReadItems(aRoot, "upstreams", aBundle.mUpstreams, aBundle, ReadUpstream);
  ReadItems(aRoot, "accounts", aBundle.mAccounts, aBundle, ReadAccount);
}

} // namespace

result<bundle>
ParseBundle(std::string_view aText, std::string_view aFile)
{
  bundle read;
  BOOST_LEAF_CHECK(
    ReadToml(aText, aFile, [&](toml_table& aRoot) { ReadAll(aRoot, read); }));
  return read;
}

result<bundle>
LoadBundle(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ParseBundle(text, aPath);
}

} // namespace sapphirespar
