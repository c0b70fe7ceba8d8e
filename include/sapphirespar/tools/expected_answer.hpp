// The text that a stand-in engine answers: a pure function of the prompt and
// the number of tokens, so that a checker can tell a whole answer of its own
// from a part of one or from someone else's.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirespar::tools {

// Returns the 16 hexadecimal digits that stand for a prompt in its answer.
std::string PromptMarker(std::string_view aPrompt);

// Returns token aIndex of an answer of aTokens tokens. The first names the
// marker and the length, the last is the end mark.
std::string AnswerPiece(std::string_view aMarker,
                        unsigned aTokens,
                        unsigned aIndex);

// Returns the whole answer, all its pieces joined.
std::string ExpectedAnswer(std::string_view aPrompt, unsigned aTokens);

enum class answer_verdict
{
  Whole,
  // A true beginning of the answer to this prompt, without its end.
  Cut,
  // Names another prompt's marker.
  Foreign,
  // Anything else.
  Garbled,
};

// Returns the verdict as it stands in reports, such as "whole".
std::string_view ToText(answer_verdict aVerdict);

// Compares aText byte by byte with the answer to aPrompt.
answer_verdict CheckAnswer(std::string_view aPrompt, std::string_view aText);

// Returns how many tokens an engine with this seed answers to aPrompt: a
// log-normal length around a quarter of aMaximumTokens, at most that many.
unsigned HiddenLength(std::string_view aPrompt,
                      std::uint64_t aSeed,
                      unsigned aMaximumTokens);

} // namespace sapphirespar::tools
