// The answer text of stand-in engines. The text is a pure function of the
// prompt and the number of tokens, so a checker can tell a complete answer to
// its own prompt from a truncated one and from an answer to another prompt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirespar::tools {

// Returns the prompt's hash as 16 hexadecimal digits, which identify the prompt
// in its answer.
std::string PromptMarker(std::string_view aPrompt);

// Returns token aIndex, from 0, of an answer of aTokens tokens. The first token
// contains the marker and the length, the last one is the end mark. The token
// of an answer of one token contains both.
std::string AnswerToken(std::string_view aMarker,
                        unsigned aTokens,
                        unsigned aIndex);

// Returns the complete answer: all tokens joined.
std::string ExpectedAnswer(std::string_view aPrompt, unsigned aTokens);

enum class answer_check
{
  Complete,
  // Empty, or a proper prefix of the expected answer that includes the whole
  // first token, which contains the answer's length.
  Truncated,
  // The answer has the marker or idempotency key of another request.
  OtherRequest,
  // Any other text.
  Garbled,
};

// Returns the result as text: "whole", "cut", "foreign" or "garbled".
std::string_view ToText(answer_check aCheck);

// Compares aText byte by byte with the answer to aPrompt.
answer_check CheckAnswer(std::string_view aPrompt, std::string_view aText);

// Returns how many tokens an engine with this seed answers to aPrompt. Lengths
// are log-normal with a median of a quarter of aMaximumTokens, and are limited
// to 1 to aMaximumTokens.
unsigned AnswerLength(std::string_view aPrompt,
                      std::uint64_t aSeed,
                      unsigned aMaximumTokens);

} // namespace sapphirespar::tools
