// Strict reader of TOML files. A missing or unknown key, a wrong type or a
// value out of range fails the whole read, and the failure names the file, the
// line and the path of the key.
#pragma once

#include "sapphirespar/base/failure.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Inclusive range of allowed values.
template<class T>
struct value_bounds
{
  T mLowest = std::numeric_limits<T>::lowest();
  T mHighest = std::numeric_limits<T>::max();
};

using integer_bounds = value_bounds<std::int64_t>;
using real_bounds = value_bounds<double>;

inline constexpr integer_bounds kPortBounds{ 1, 65535 };
// For a listen port, where zero selects a free one.
inline constexpr integer_bounds kListenPortBounds{ 0, 65535 };

// One of the texts that a key may hold, and the value that it stands for.
template<class T>
struct text_choice
{
  std::string_view mText;
  T mValue;
};

// One table of a file. Getters record the keys that they were called with; all
// other keys are unknown. A getter that fails returns its fallback or a default
// value, and ReadToml reports the first failure at the end, so callers need no
// error handling.
class toml_table
{
public:
  using visitor = std::function<void(toml_table&)>;

  struct state;
  explicit toml_table(std::unique_ptr<state> aState);
  ~toml_table();
  toml_table(const toml_table&) = delete;
  toml_table& operator=(const toml_table&) = delete;

  bool Has(std::string_view aKey) const;

  // For all getters: the key is required if there is no fallback. Fails if the
  // text is empty.
  std::string Text(std::string_view aKey,
                   std::optional<std::string> aFallback = std::nullopt);
  std::int64_t Integer(std::string_view aKey,
                       integer_bounds aBounds,
                       std::optional<std::int64_t> aFallback = std::nullopt);
  // Also accepts an integer.
  double Real(std::string_view aKey,
              real_bounds aBounds,
              std::optional<double> aFallback = std::nullopt);
  bool Flag(std::string_view aKey,
            std::optional<bool> aFallback = std::nullopt);
  std::chrono::milliseconds Milliseconds(
    std::string_view aKey,
    integer_bounds aBounds,
    std::optional<std::int64_t> aFallbackMs = std::nullopt);

  // Returns a list of texts; empty if the key is absent.
  std::vector<std::string> Texts(std::string_view aKey);

  // Returns the value of a text from a fixed set.
  template<class T>
  T Choice(std::string_view aKey,
           std::span<const text_choice<T>> aChoices,
           std::optional<T> aFallback = std::nullopt)
  {
    if (aFallback && !Has(aKey)) {
      return *aFallback;
    }
    const auto text = Text(aKey);
    std::string expected;
    for (const auto& choice : aChoices) {
      if (choice.mText == text) {
        return choice.mValue;
      }
      expected += expected.empty() ? "" : ", ";
      expected += "\"" + std::string(choice.mText) + "\"";
    }
    Fail(aKey, "expected one of " + expected + ", found \"" + text + "\"");
    return aChoices.front().mValue;
  }

  // Calls aRead with the table under aKey. Does nothing if the key is absent.
  void Table(std::string_view aKey, const visitor& aRead);

  // Calls aRead with each table of the array under aKey. Does nothing if the
  // key is absent.
  void EachTable(std::string_view aKey, const visitor& aRead);

  // Records that the value of aKey is wrong, or this table if aKey is empty.
  // Only the first failure of a file is kept.
  void Fail(std::string_view aKey, std::string aProblem);

  // Returns whether reading the file has failed so far.
  bool Failed() const;

private:
  friend result<void> ReadToml(std::string_view,
                               std::string_view,
                               const visitor&);

  void FailIfRequired(std::string_view aKey, bool aHasFallback);
  void RejectUnknownKeys();
  void Visit(std::unique_ptr<state> aChild, const visitor& aRead);

  std::unique_ptr<state> mState;
};

// Parses aText and calls aRead with its root table. aFile is only named in
// failures. Fails with config_failure.
result<void> ReadToml(std::string_view aText,
                      std::string_view aFile,
                      const toml_table::visitor& aRead);

// Returns the bytes of a file, or a config_failure naming it.
result<std::string> ReadTextFile(const std::string& aPath);

} // namespace sapphirespar
