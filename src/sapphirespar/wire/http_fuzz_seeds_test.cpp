// Replays the seeds of the fuzz targets for requests and answers.
#include "http_decoding_test.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

namespace sapphirespar::wire {
namespace {

void
Replay(const std::string& aTarget,
       const std::function<void(std::string_view)>& aCheck)
{
  int count = 0;
  const auto directory =
    std::filesystem::path(SAPPHIRESPAR_FUZZ_SEEDS) / aTarget;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    SCOPED_TRACE(entry.path().filename().string());
    EXPECT_NO_THROW(aCheck(bytes));
    ++count;
  }
  EXPECT_GT(count, 5);
}

TEST(HttpFuzzSeeds, RequestsDecodeInAnyPieces)
{
  Replay("request", CheckRequests);
}

TEST(HttpFuzzSeeds, AnswersDecodeInAnyPieces)
{
  Replay("answer", CheckAnswers);
}

} // namespace
} // namespace sapphirespar::wire
