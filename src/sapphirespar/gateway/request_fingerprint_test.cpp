// Tests of which requests count as the same.
#include "sapphirespar/gateway/request_fingerprint.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <vector>

namespace sapphirespar::gateway {
namespace {

wire::http_request
Sample()
{
  return { "POST", "/a?b=c", { { "Host", "h" }, { "Id", "1" } }, "body" };
}

TEST(RequestFingerprint, AnIdMakesNoDifference)
{
  auto other = Sample();
  other.mHeaders[1].mValue = "2";
  EXPECT_EQ(FingerprintOf(Sample(), account_id{ "x" }, {}),
            FingerprintOf(other, account_id{ "x" }, {}));
}

TEST(RequestFingerprint, EverythingElseDoes)
{
  const std::vector<std::function<void(wire::http_request&)>> changes{
    [](auto&) {},
    [](auto& aRequest) { aRequest.mMethod = "PUT"; },
    [](auto& aRequest) { aRequest.mTarget = "/a?b=d"; },
    [](auto& aRequest) { aRequest.mHeaders[0].mValue = "g"; },
    [](auto& aRequest) { aRequest.mBody = "bodies"; },
    [](auto& aRequest) {
      aRequest.mTarget += "x";
      aRequest.mBody = "body";
    },
    [](auto& aRequest) { aRequest.mBody.clear(); },
  };
  std::set<std::uint64_t> seen{ FingerprintOf(Sample(), std::nullopt, {}),
                                FingerprintOf(Sample(), account_id{ "" }, {}),
                                FingerprintOf(
                                  Sample(), account_id{ "y" }, {}) };
  for (const auto& change : changes) {
    auto request = Sample();
    change(request);
    seen.insert(FingerprintOf(request, account_id{ "x" }, {}));
  }
  const std::vector<std::uint64_t> parts{ 7, 8 };
  seen.insert(FingerprintOf(Sample(), account_id{ "x" }, parts));
  EXPECT_EQ(seen.size(), changes.size() + 4);
}

} // namespace
} // namespace sapphirespar::gateway
