// Checked reading of TOML files that people write. Every key is accounted for:
// a missing, unknown, mistyped or out-of-range one fails the whole read with
// its file, line and path.
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

// The lowest and highest value allowed, both included.
template<class T>
struct value_bounds
{
  T mLowest = std::numeric_limits<T>::lowest();
  T mHighest = std::numeric_limits<T>::max();
};

using integer_bounds = value_bounds<std::int64_t>;
using real_bounds = value_bounds<double>;

inline constexpr integer_bounds kPortBounds{ 1, 65535 };
// For a port to listen on, where zero takes any free one.
inline constexpr integer_bounds kListenPortBounds{ 0, 65535 };

// One of the texts that a key may hold and what it stands for.
template<class T>
struct text_choice
{
  std::string_view mText;
  T mValue;
};

// One table of a file. Getters note which keys were asked for. After the first
// failure getters return their fall-back or an empty value, and the failure is
// reported at the end, so that callers read straight through.
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

  // Without a fall-back the key is required.
  std::string Text(std::string_view aKey,
                   std::optional<std::string> aFallback = std::nullopt);
  std::int64_t Integer(std::string_view aKey,
                       integer_bounds aBounds,
                       std::optional<std::int64_t> aFallback = std::nullopt);
  // Takes an integer too.
  double Real(std::string_view aKey,
              real_bounds aBounds,
              std::optional<double> aFallback = std::nullopt);
  bool Flag(std::string_view aKey,
            std::optional<bool> aFallback = std::nullopt);
  std::chrono::milliseconds Milliseconds(
    std::string_view aKey,
    integer_bounds aBounds,
    std::optional<std::int64_t> aFallbackMs = std::nullopt);

  // A list of texts; absent is empty.
  std::vector<std::string> Texts(std::string_view aKey);

  // One text of a fixed set.
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

  // Reads the table under aKey. Does nothing if it is absent.
  void Table(std::string_view aKey, const visitor& aRead);

  // Reads each table of an array of tables. Absent is empty.
  void EachTable(std::string_view aKey, const visitor& aRead);

  // Notes that the value of aKey, or this table if it is empty, is wrong. Only
  // the first failure of a file is kept.
  void Fail(std::string_view aKey, std::string aProblem);

  // Whether anything of the file has failed so far.
  bool Failed() const;

private:
  friend result<void> ReadToml(std::string_view,
                               std::string_view,
                               const visitor&);

  void FailUnlessAbsentIsFine(std::string_view aKey, bool aHasFallback);
  void RejectUnknownKeys();
  void Visit(std::unique_ptr<state> aChild, const visitor& aRead);

  std::unique_ptr<state> mState;
};

// Parses aText and reads its root table. aFile is only named in failures.
result<void> ReadToml(std::string_view aText,
                      std::string_view aFile,
                      const toml_table::visitor& aRead);

// Returns the bytes of a file, or a config_failure naming it.
result<std::string> ReadTextFile(const std::string& aPath);

} // namespace sapphirespar
