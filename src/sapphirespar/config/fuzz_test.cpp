// Checks that reading damaged bundles and settings gives a value or a reported
// failure, but never a crash.
#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/config/bundle_codec.hpp"
#include "sapphirespar/config/bundle_file.hpp"
#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/config/signing.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace sapphirespar {
namespace {

// Generates small mutations at any position. The inserted pieces include ones
// that often upset parsers.
rc::Gen<std::vector<text_mutation>>
Mutations()
{
  const auto piece =
    rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                   rc::gen::element<std::string>("",
                                                 "\"",
                                                 "\n",
                                                 "=",
                                                 "[",
                                                 "]]",
                                                 "{",
                                                 "}",
                                                 "-1",
                                                 "1e400",
                                                 "0x",
                                                 "\"\"\"",
                                                 "99999999999999999999",
                                                 "true",
                                                 "null",
                                                 "\\u0000",
                                                 "[[classes]]\n"));
  return rc::gen::container<std::vector<text_mutation>>(
    rc::gen::construct<text_mutation>(rc::gen::inRange<std::size_t>(0, 4096),
                                      rc::gen::inRange<std::size_t>(0, 12),
                                      piece));
}

// Returns whether aRead succeeds, or fails with one of the expected failures.
template<class Read>
bool
IsReadOrRefused(const Read& aRead)
{
  bool read = false;
  const auto failure = FailureText([&]() -> result<void> {
    BOOST_LEAF_CHECK(aRead());
    read = true;
    return {};
  });
  return read == failure.empty() && failure != "another failure";
}

TEST(Fuzz, ABadTableHeaderIsNamedWithItsLine)
{
  const auto failure =
    FailureText([] { return ParseSettings("[node]\n[=]\n", "r.toml"); });
  EXPECT_TRUE(failure.starts_with("r.toml:2: ")) << failure;
}

RC_GTEST_PROP(Fuzz, ADamagedBundleIsReadOrRefused, ())
{
  const auto text = Mutate(GoodBundleText(), *Mutations());
  RC_ASSERT(IsReadOrRefused([&]() -> result<void> {
    BOOST_LEAF_AUTO(read, ParseBundle(text, "b.toml"));
    const auto bytes = ToCanonicalJson(read);
    BOOST_LEAF_AUTO(again, ParseBundleJson(bytes));
    RC_ASSERT(ToCanonicalJson(again) == bytes);
    return {};
  }));
}

RC_GTEST_PROP(Fuzz, ADamagedCanonicalBundleIsReadOrRefused, ())
{
  const auto good = ToCanonicalJson(GoodBundle(1, "ab"));
  const auto text = Mutate(good, *Mutations());
  RC_ASSERT(IsReadOrRefused([&] { return ParseBundleJson(text); }));
}

RC_GTEST_PROP(Fuzz, ADamagedSignedBundleNeverPasses, ())
{
  const auto key = NewSigningKey();
  const auto declared = GoodBundle(1, key.mPublicKey);
  const auto signedBundle = SignBundle(declared, "anna", key.mPrivateKey);
  RC_ASSERT(static_cast<bool>(signedBundle));
  const auto good = Serialize(*signedBundle);
  const auto text = Mutate(good, *Mutations());
  RC_PRE(text != good);
  bool passed = false;
  const auto failure = FailureText([&]() -> result<void> {
    BOOST_LEAF_AUTO(read, VerifySignedBundle(text, declared.mSigners));
    // The check may pass if the damage lies outside the signed bytes, but never
    // if they are changed.
    passed = read.mBytes != signedBundle->mBytes;
    return {};
  });
  RC_ASSERT(!passed);
  RC_ASSERT(failure != "another failure");
}

RC_GTEST_PROP(Fuzz, DamagedSettingsAreReadOrRefused, ())
{
  const std::string good = R"([node]
vm = "vm-1"
data_centre = "valmiera"
[listen]
address = "127.0.0.1"
[platform]
address = "127.0.0.1"
port = 7000
[log]
level = "info"
[[trust.signers]]
name = "anna"
public_key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)";
  const auto text = Mutate(good, *Mutations());
  RC_ASSERT(IsReadOrRefused([&] { return ParseSettings(text, "r.toml"); }));
}

} // namespace
} // namespace sapphirespar
