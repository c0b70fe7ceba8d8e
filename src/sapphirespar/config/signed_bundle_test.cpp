// Tests signatures on bundles and the chain of signer changes.
#include "sapphirespar/config/signed_bundle.hpp"

#include "sapphirespar/config/signing.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>

namespace sapphirespar {
namespace {

class signed_bundles : public testing::Test
{
protected:
  static std::string Failure(const std::string& aText,
                             const std::vector<signer>& aTrusted,
                             bundle_version aSince = {})
  {
    return FailureText(
      [&] { return VerifySignedBundle(aText, aTrusted, aSince); });
  }

  const signing_key mAnna = NewSigningKey();
  const signing_key mBoris = NewSigningKey();
  const std::vector<signer> mOnlyAnna{ { "anna", mAnna.mPublicKey } };
  const std::vector<signer> mOnlyBoris{ { "boris", mBoris.mPublicKey } };
  const signed_bundle mFirst =
    SignBundle(GoodBundle(1, mAnna.mPublicKey), "anna", mAnna.mPrivateKey)
      .value();
};

TEST_F(signed_bundles, OnlyUnchangedBytesOfATrustedSignerPass)
{
  const auto text = Serialize(mFirst);
  EXPECT_EQ(Failure(text, mOnlyAnna), "");
  EXPECT_EQ(Failure(text, { { "anna", mBoris.mPublicKey } }),
            "the signature of \"anna\" is not valid");
  EXPECT_EQ(Failure(text, mOnlyBoris), "signer \"anna\" is not trusted");
  auto changed = text;
  changed.replace(changed.find("price"), 5, "prize");
  EXPECT_EQ(Failure(changed, mOnlyAnna),
            "the signature of \"anna\" is not valid");
  EXPECT_EQ(Failure("{}", mOnlyAnna),
            "a signed bundle needs signer, signature and bundle");
  EXPECT_EQ(Failure("{\"signer\":1}", mOnlyAnna),
            "wrong type of \"signer\" in a signed bundle");
}

TEST_F(signed_bundles, ARouterThatMissedAChangeOfSignersFollowsTheChain)
{
  auto second = GoodBundle(2, "");
  second.mSigners = mOnlyBoris;
  const auto signedSecond =
    SignBundle(second, "anna", mAnna.mPrivateKey, &mFirst).value();
  auto third = second;
  third.mVersion.mNumber = 3;
  const auto signedThird =
    SignBundle(third, "boris", mBoris.mPrivateKey, &signedSecond).value();
  const auto text = Serialize(signedThird);
  EXPECT_EQ(Failure(text, mOnlyAnna), "");
  EXPECT_EQ(Failure(text, mOnlyBoris, { 1, 2 }), "");
  // The second bundle has removed anna from the signers, and a signer change
  // that its own new signer has signed is not trusted.
  third.mVersion.mNumber = 4;
  const auto stale =
    SignBundle(third, "anna", mAnna.mPrivateKey, &signedThird).value();
  EXPECT_EQ(Failure(Serialize(stale), mOnlyBoris, { 1, 3 }),
            "signer \"anna\" is not trusted");
  const auto stranger = SignBundle(second, "boris", mBoris.mPrivateKey);
  EXPECT_EQ(Failure(Serialize(stranger.value()), mOnlyAnna),
            "signer \"boris\" is not trusted");
}

TEST_F(signed_bundles, AChangeOfSignersIsNeverTakenForABundle)
{
  const auto& change = mFirst.mSignerChanges.at(0);
  auto forged = mFirst;
  forged.mBytes = "{\"epoch\":1,\"number\":1,\"signers\":[{\"name\":\"anna\","
                  "\"public_key\":\"" +
                  mAnna.mPublicKey + "\"}]}";
  forged.mSignature = change.mSignature;
  EXPECT_EQ(Failure(Serialize(forged), mOnlyAnna),
            "the signature of \"anna\" is not valid");
}

} // namespace
} // namespace sapphirespar
