// Tests the checks of a bundle, its canonical JSON, and keys and digests.
#include "sapphirespar/config/bundle_file.hpp"

#include "sapphirespar/config/bundle_codec.hpp"
#include "sapphirespar/config/signing.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>

namespace sapphirespar {
namespace {

// Replaces the first aFrom in the text of a valid bundle and returns the text
// of the resulting failure.
std::string
FailureWith(std::string_view aFrom, std::string_view aTo)
{
  auto text = GoodBundleText();
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return FailureText([&] { return ParseBundle(text, "b.toml"); });
}

TEST(BundleFile, ReadsAGoodBundle)
{
  const auto read = ParseBundle(GoodBundleText(), "b.toml");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mClasses.size(), 2U);
  EXPECT_EQ(read->mClasses[0].mOnce, at_most_once_mode::Token);
  EXPECT_EQ(read->mUpstreams[1].mService, "ledger");
  EXPECT_EQ(read->mVersion, (bundle_version{ 1, 0 }));
}

TEST(BundleFile, RefusesReferencesToMissingItems)
{
  EXPECT_EQ(FailureWith("classes = [\"price\"]", "classes = [\"prize\"]"),
            "b.toml:40: accounts[0].classes: no class \"prize\" in this "
            "bundle");
  EXPECT_EQ(FailureWith("models = [\"m-small\"]", "models = [\"m\"]"),
            "b.toml:27: upstreams[0].models: no model \"m\" in this bundle");
}

TEST(BundleFile, RefusesInvalidValues)
{
  EXPECT_EQ(FailureWith("tier = 2", "tier = 4"),
            "b.toml:14: classes[1].tier: expected 1 to 3, found 4");
  EXPECT_EQ(FailureWith("first_token_ms = 320", "first_token_ms = -1"),
            "b.toml:16: classes[1].first_token_ms: expected 1 to 86400000, "
            "found -1");
  EXPECT_EQ(FailureWith("once = \"token\"\n", ""),
            "b.toml:5: classes[0].once: a class that is not idempotent needs "
            "\"token\" or \"claim\"");
  EXPECT_EQ(FailureWith("id = \"price\"", "id = \"confirmation\""),
            "b.toml:13: classes[1].id: \"confirmation\" is used twice");
  EXPECT_EQ(FailureWith("address = \"10.0.0.1\"", "address = \"host\""),
            "b.toml:25: upstreams[0].address: expected an IP address, found "
            "\"host\"");
  EXPECT_EQ(FailureWith("service = \"ledger\"\n", ""),
            "b.toml:29: upstreams[1].service: an upstream of kind \"service\" "
            "needs a service name");
}

TEST(BundleFile, RefusesSharesOverAHundredPercent)
{
  auto text = GoodBundleText();
  text.insert(text.find("idempotent = false"), "minimum_share_percent = 95\n");
  EXPECT_EQ(FailureText([&] { return ParseBundle(text, "b.toml"); }),
            "b.toml:5: classes: minimum_share_percent of all classes sum to "
            "105, over 100");
}

TEST(BundleCodec, ARoundTripGivesTheSameBytes)
{
  const auto first = GoodBundle(7, NewSigningKey().mPublicKey);
  const auto bytes = ToCanonicalJson(first);
  const auto again = ParseBundleJson(bytes);
  ASSERT_TRUE(again);
  EXPECT_EQ(ToCanonicalJson(*again), bytes);
  EXPECT_EQ(again->mVersion, first.mVersion);
  EXPECT_EQ(again->mClasses[1].mFirstTokenTarget,
            first.mClasses[1].mFirstTokenTarget);
  EXPECT_EQ(FailureText([] { return ParseBundleJson("{\"epoch\":\"x\"}"); }),
            "bundle JSON: epoch: wrong type or value");
  EXPECT_EQ(FailureText([] { return ParseBundleJson("[]"); }),
            "bundle JSON: expected a JSON object");
}

TEST(Signing, KeysAndDigestsHaveTheirKnownForms)
{
  const auto key = NewSigningKey();
  EXPECT_EQ(PublicKeyOf(key.mPrivateKey), key.mPublicKey);
  EXPECT_FALSE(PublicKeyOf("12"));
  EXPECT_FALSE(Sign("bytes", "no key"));
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace sapphirespar
