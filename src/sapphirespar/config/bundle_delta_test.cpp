// Tests deltas, and the sizes of a bundle with the number of items expected in
// two years.
#include "sapphirespar/config/bundle_delta.hpp"

#include "sapphirespar/config/bundle_codec.hpp"
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/model/platform.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>

namespace sapphirespar {
namespace {

bundle
LargeBundle()
{
  constexpr int kAccounts = 5000;
  constexpr int kServers = 3500;
  constexpr int kModels = 22;
  constexpr int kDataCentres = 13;
  auto large = GoodBundle(1, NewSigningKey().mPublicKey);
  const auto number = [](int aNumber) { return std::to_string(aNumber); };
  for (int i = 0; i < kModels; ++i) {
    large.mModels.push_back({ { "model-" + number(i) }, 2, 300 });
  }
  for (int i = 0; i < kAccounts; ++i) {
    client_account account;
    account.mId = { "account-" + number(i) };
    account.mKeyHash = Sha256Hex(number(i));
    account.mClasses = { { "price" }, { "confirmation" } };
    account.mRequestsPerSecond = 1 + i % 90;
    large.mAccounts.push_back(account);
  }
  for (int i = 0; i < kServers; ++i) {
    upstream_spec server;
    server.mId = { "upstream-" + number(i) };
    server.mDataCentre = { "data-centre-" + number(i % kDataCentres) };
    server.mAddress = "10." + number(i % kDataCentres) + "." + number(i / 256) +
                      "." + number(i % 256);
    server.mPort = 8000;
    server.mModels = { { "model-" + number(i % kModels) },
                       { "model-" + number((i + 1) % kModels) } };
    large.mUpstreams.push_back(server);
  }
  return large;
}

// Makes a delta, converts it to JSON and back, and returns the bundle that
// results from it.
bundle
ByDelta(const bundle& aBefore, const bundle& aAfter)
{
  const auto text = ToJson(MakeDelta(aBefore, aAfter));
  return ApplyDelta(aBefore, ParseDelta(text).value());
}

TEST(BundleDelta, GivesTheSameBytesForChangesRemovalsAndAdditions)
{
  EXPECT_TRUE(rc::check([] {
    const auto before = GoodBundle(1, std::string(64, 'a'));
    auto after = before;
    after.mVersion.mNumber = 2;
    after.mClasses[0].mQueueLimit = *rc::gen::inRange(1U, 100U);
    if (*rc::gen::arbitrary<bool>()) {
      after.mUpstreams.erase(after.mUpstreams.begin());
    }
    const auto added = *rc::gen::inRange(0, 5);
    for (int i = 0; i < added; ++i) {
      client_account account;
      account.mId = { "new-" + std::to_string(i) };
      after.mAccounts.push_back(account);
    }
    if (*rc::gen::arbitrary<bool>()) {
      after.mSigners[0].mPublicKey = std::string(64, 'b');
    }
    RC_ASSERT(ToCanonicalJson(ByDelta(before, after)) ==
              ToCanonicalJson(after));
  }));
}

TEST(BundleDelta, AnotherItemOrderGivesOtherBytesSoThatTheSignatureFails)
{
  const auto key = NewSigningKey();
  const auto before = GoodBundle(1, key.mPublicKey);
  auto after = GoodBundle(2, key.mPublicKey);
  std::ranges::reverse(after.mUpstreams);
  auto signedBundle = SignBundle(after, "anna", key.mPrivateKey).value();
  signedBundle.mDelta = ToJson(MakeDelta(before, after));
  signedBundle.mBytes.clear();
  ASSERT_TRUE(FillFromDelta(signedBundle, before));
  EXPECT_EQ(
    FailureText([&] { return CheckSignature(signedBundle, before.mSigners); }),
    "the signature of \"anna\" is not valid");
  EXPECT_EQ(FailureText([&] { return FillFromDelta(signedBundle, after); }),
            "the delta is for another bundle");
}

TEST(BundleDelta, DamagedTextsAreRefused)
{
  EXPECT_EQ(FailureText([] { return ParseDelta("[]"); }),
            "bundle delta: expected a JSON object");
  EXPECT_EQ(FailureText([] { return ParseDelta("{\"removed\":1}"); }),
            "bundle delta: removed: wrong type or value");
  signed_bundle empty;
  for (const auto* text : { "", "12", "12:", "12:!!!!", "99999999999:AAAA" }) {
    EXPECT_EQ(FailureText([&] { return FillFromFullBundle(empty, text); }),
              "the packed bundle can't be unpacked");
  }
}

TEST(BundleDelta, FitsThePlatformAndTheTrafficBudgetAtTwoYearsSize)
{
  constexpr double kChangesPerDay = 4400;
  constexpr double kSecondsPerDay = 24 * 60 * 60;
  constexpr double kBudgetBytesPerSecond = 4096;
  const auto key = NewSigningKey();
  const auto before = LargeBundle();
  auto after = before;
  after.mVersion.mNumber = 2;
  after.mAccounts[1234].mRequestsPerSecond = 7;
  auto signedBundle = SignBundle(after, "anna", key.mPrivateKey).value();
  signedBundle.mDelta = ToJson(MakeDelta(before, after));
  const auto full = Serialize(signedBundle);
  const auto small = Serialize(signedBundle, bundle_form::WithoutBytes);
  const auto rate = [&](const std::string& aText) {
    return static_cast<double>(aText.size()) * kChangesPerDay / kSecondsPerDay;
  };
  EXPECT_LE(full.size(), kObjectLimitBytes);
  // A tenth of a node's budget for control traffic.
  EXPECT_LE(rate(small), kBudgetBytesPerSecond / 10);
  EXPECT_EQ(ParseSignedBundle(full)->mBytes, signedBundle.mBytes);
  std::cout << "canonical " << signedBundle.mBytes.size() << " bytes, full "
            << full.size() << " bytes (" << rate(full) << " bytes/s), by delta "
            << small.size() << " bytes (" << rate(small) << " bytes/s)\n";
}

} // namespace
} // namespace sapphirespar
