// Generates and checks the answers of stand-in engines.
#include "sapphirespar/tools/expected_answer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <numbers>
#include <optional>

namespace sapphirespar::tools {
namespace {

constexpr std::size_t kMarkerDigits = 16;
constexpr std::string_view kHeadStart = "<";
constexpr std::string_view kEndMark = " end:";

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, kMarkerDigits + 1> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx",
                static_cast<unsigned long long>(aNumber));
  return digits.data();
}

// The head of an answer: "<marker:tokens>".
struct answer_head
{
  std::string_view mMarker;
  unsigned mTokens = 0;
};

std::optional<answer_head>
ParseHead(std::string_view aText)
{
  const auto close = aText.find('>');
  if (!aText.starts_with(kHeadStart) || close == std::string_view::npos ||
      close < kMarkerDigits + 3 || aText[kMarkerDigits + 1] != ':') {
    return std::nullopt;
  }
  answer_head head{ aText.substr(1, kMarkerDigits), 0 };
  const auto* first = aText.data() + kMarkerDigits + 2;
  const auto parsed =
    std::from_chars(first, aText.data() + close, head.mTokens);
  if (parsed.ptr != aText.data() + close || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return head;
}

// Maps a hash to a number in (0, 1].
double
Uniform(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>((aHash >> 11) + 1) * kScale;
}

} // namespace

std::string
PromptMarker(std::string_view aPrompt)
{
  return ToHex(HashText(aPrompt, 0));
}

std::string
AnswerToken(std::string_view aMarker, unsigned aTokens, unsigned aIndex)
{
  std::string piece;
  if (aIndex == 0) {
    piece.append(kHeadStart).append(aMarker).append(":");
    piece.append(std::to_string(aTokens)).append(">");
  } else if (aIndex + 1 < aTokens) {
    constexpr std::uint64_t kWordMask = 0xffff;
    piece.append(" w").append(
      std::to_string(HashText(aMarker, aIndex) & kWordMask));
  }
  if (aIndex + 1 == aTokens) {
    piece.append(kEndMark).append(aMarker);
  }
  return piece;
}

std::string
ExpectedAnswer(std::string_view aPrompt, unsigned aTokens)
{
  const auto marker = PromptMarker(aPrompt);
  std::string text;
  for (unsigned index = 0; index < aTokens; ++index) {
    text += AnswerToken(marker, aTokens, index);
  }
  return text;
}

std::string_view
ToText(answer_check aCheck)
{
  switch (aCheck) {
    case answer_check::Complete:
      return "whole";
    case answer_check::Truncated:
      return "cut";
    case answer_check::OtherRequest:
      return "foreign";
    case answer_check::Garbled:
      return "garbled";
  }
  return "garbled";
}

answer_check
CheckAnswer(std::string_view aPrompt, std::string_view aText)
{
  if (aText.empty()) {
    return answer_check::Truncated;
  }
  const auto head = ParseHead(aText);
  if (!head) {
    return answer_check::Garbled;
  }
  if (head->mMarker != PromptMarker(aPrompt)) {
    return answer_check::OtherRequest;
  }
  const auto expected = ExpectedAnswer(aPrompt, head->mTokens);
  if (aText == expected) {
    return answer_check::Complete;
  }
  return std::string_view(expected).starts_with(aText) ? answer_check::Truncated
                                                       : answer_check::Garbled;
}

unsigned
AnswerLength(std::string_view aPrompt,
             std::uint64_t aSeed,
             unsigned aMaximumTokens)
{
  constexpr double kMedianShare = 0.25;
  constexpr double kSigma = 0.9;
  const double first = Uniform(HashText(aPrompt, aSeed * 2 + 1));
  const double second = Uniform(HashText(aPrompt, aSeed * 2 + 2));
  const double normal =
    std::sqrt(-2 * std::log(first)) * std::cos(2 * std::numbers::pi * second);
  const double length =
    kMedianShare * aMaximumTokens * std::exp(kSigma * normal);
  const double limit = std::max(1U, aMaximumTokens);
  return static_cast<unsigned>(std::clamp(std::round(length), 1.0, limit));
}

} // namespace sapphirespar::tools
