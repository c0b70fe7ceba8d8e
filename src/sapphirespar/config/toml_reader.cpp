// Implements the strict TOML reader with toml++.
#include "sapphirespar/config/toml_reader.hpp"

// On input such as "[=]" toml++ first asserts a condition and then reports it
// as an error. Assertions are disabled because an operator's typing error must
// not end the process.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace sapphirespar {
namespace {

// State shared by all tables of one file.
struct toml_file
{
  std::string mName;
  // The first failure; later failures are often caused by it.
  std::optional<config_failure> mFailure;
};

std::string
TypeName(const toml::node& aNode)
{
  std::ostringstream text;
  text << aNode.type();
  return text.str();
}

std::string
OutOfRange(auto aBounds, auto aFound)
{
  std::ostringstream text;
  text << "expected " << aBounds.mLowest << " to " << aBounds.mHighest
       << ", found " << aFound;
  return text.str();
}

} // namespace

struct toml_table::state
{
  toml_file& mFile;
  const toml::table& mTable;
  // Dotted path of this table; empty at the root.
  std::string mPath;
  std::set<std::string, std::less<>> mKnownKeys;

  const toml::node* Find(std::string_view aKey)
  {
    mKnownKeys.emplace(aKey);
    return mTable.get(aKey);
  }
  std::string PathOf(std::string_view aKey) const
  {
    if (mPath.empty() || aKey.empty()) {
      return mPath + std::string(aKey);
    }
    return mPath + "." + std::string(aKey);
  }
  std::unique_ptr<state> Child(const toml::table& aTable, std::string aPath)
  {
    return std::unique_ptr<state>(
      new state{ mFile, aTable, std::move(aPath), {} });
  }
};

toml_table::toml_table(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

toml_table::~toml_table() = default;

bool
toml_table::Has(std::string_view aKey) const
{
  return mState->Find(aKey) != nullptr;
}

bool
toml_table::Failed() const
{
  return mState->mFile.mFailure.has_value();
}

void
toml_table::Fail(std::string_view aKey, std::string aProblem)
{
  if (Failed()) {
    return;
  }
  const auto* node = aKey.empty() ? nullptr : mState->mTable.get(aKey);
  const auto& source = node ? node->source() : mState->mTable.source();
  mState->mFile.mFailure = config_failure{ mState->mFile.mName,
                                           source.begin.line,
                                           mState->PathOf(aKey),
                                           std::move(aProblem) };
}

void
toml_table::FailIfRequired(std::string_view aKey, bool aHasFallback)
{
  if (!aHasFallback) {
    Fail(aKey, "required key is missing");
  }
}

std::string
toml_table::Text(std::string_view aKey, std::optional<std::string> aFallback)
{
  const auto* node = mState->Find(aKey);
  if (!node) {
    FailIfRequired(aKey, aFallback.has_value());
    return aFallback.value_or("");
  }
  if (!node->is_string()) {
    Fail(aKey, "expected a string, found " + TypeName(*node));
    return aFallback.value_or("");
  }
  auto text = node->value_or<std::string>("");
  if (text.empty()) {
    Fail(aKey, "expected a string that is not empty");
  }
  return text;
}

std::int64_t
toml_table::Integer(std::string_view aKey,
                    integer_bounds aBounds,
                    std::optional<std::int64_t> aFallback)
{
  const auto fallback = aFallback.value_or(aBounds.mLowest);
  const auto* node = mState->Find(aKey);
  if (!node) {
    FailIfRequired(aKey, aFallback.has_value());
    return fallback;
  }
  if (!node->is_integer()) {
    Fail(aKey, "expected an integer, found " + TypeName(*node));
    return fallback;
  }
  const auto value = node->value_or<std::int64_t>(0);
  if (value < aBounds.mLowest || value > aBounds.mHighest) {
    Fail(aKey, OutOfRange(aBounds, value));
    return fallback;
  }
  return value;
}

double
toml_table::Real(std::string_view aKey,
                 real_bounds aBounds,
                 std::optional<double> aFallback)
{
  const auto fallback = aFallback.value_or(aBounds.mLowest);
  const auto* node = mState->Find(aKey);
  if (!node) {
    FailIfRequired(aKey, aFallback.has_value());
    return fallback;
  }
  if (!node->is_number()) {
    Fail(aKey, "expected a number, found " + TypeName(*node));
    return fallback;
  }
  const auto value = node->value_or<double>(0.0);
  // Written as a negation so that NaN fails too.
  if (!(value >= aBounds.mLowest && value <= aBounds.mHighest)) {
    Fail(aKey, OutOfRange(aBounds, value));
    return fallback;
  }
  return value;
}

bool
toml_table::Flag(std::string_view aKey, std::optional<bool> aFallback)
{
  const auto* node = mState->Find(aKey);
  if (!node) {
    FailIfRequired(aKey, aFallback.has_value());
    return aFallback.value_or(false);
  }
  if (!node->is_boolean()) {
    Fail(aKey, "expected true or false, found " + TypeName(*node));
  }
  return node->value_or<bool>(false);
}

std::chrono::milliseconds
toml_table::Milliseconds(std::string_view aKey,
                         integer_bounds aBounds,
                         std::optional<std::int64_t> aFallbackMs)
{
  return std::chrono::milliseconds(Integer(aKey, aBounds, aFallbackMs));
}

std::vector<std::string>
toml_table::Texts(std::string_view aKey)
{
  std::vector<std::string> texts;
  const auto* node = mState->Find(aKey);
  if (!node) {
    return texts;
  }
  const auto* array = node->as_array();
  const auto isText = [](const toml::node& aItem) { return aItem.is_string(); };
  if (!array || !std::ranges::all_of(*array, isText)) {
    Fail(aKey, "expected a list of strings, found " + TypeName(*node));
    return texts;
  }
  std::ranges::transform(
    *array, std::back_inserter(texts), [](const toml::node& aItem) {
      return aItem.value_or<std::string>("");
    });
  return texts;
}

void
toml_table::Table(std::string_view aKey, const visitor& aRead)
{
  const auto* node = mState->Find(aKey);
  if (!node) {
    return;
  }
  if (const auto* table = node->as_table()) {
    Visit(mState->Child(*table, mState->PathOf(aKey)), aRead);
  } else {
    Fail(aKey, "expected a table, found " + TypeName(*node));
  }
}

void
toml_table::EachTable(std::string_view aKey, const visitor& aRead)
{
  const auto* node = mState->Find(aKey);
  if (!node) {
    return;
  }
  const auto* array = node->as_array();
  const auto isTable = [](const toml::node& aItem) { return aItem.is_table(); };
  if (!array || !std::ranges::all_of(*array, isTable)) {
    Fail(aKey, "expected a list of tables, found " + TypeName(*node));
    return;
  }
  std::size_t index = 0;
  for (const auto& item : *array) {
    auto path = mState->PathOf(aKey) + "[" + std::to_string(index++) + "]";
    Visit(mState->Child(*item.as_table(), std::move(path)), aRead);
  }
}

void
toml_table::Visit(std::unique_ptr<state> aChild, const visitor& aRead)
{
  toml_table child(std::move(aChild));
  aRead(child);
  child.RejectUnknownKeys();
}

void
toml_table::RejectUnknownKeys()
{
  for (const auto& [key, value] : mState->mTable) {
    if (!mState->mKnownKeys.contains(key.str())) {
      std::string known;
      for (const auto& name : mState->mKnownKeys) {
        known += known.empty() ? name : ", " + name;
      }
      Fail(key.str(), "unknown key; known here: " + known);
    }
  }
}

result<void>
ReadToml(std::string_view aText,
         std::string_view aFile,
         const toml_table::visitor& aRead)
{
  toml_file file{ std::string(aFile), {} };
  const auto parsed = toml::parse(aText, aFile);
  if (!parsed) {
    const auto& error = parsed.error();
    return leaf::new_error(config_failure{ file.mName,
                                           error.source().begin.line,
                                           "",
                                           std::string(error.description()) });
  }
  toml_table::state root{ file, parsed.table(), "", {} };
  toml_table table(std::make_unique<toml_table::state>(std::move(root)));
  aRead(table);
  table.RejectUnknownKeys();
  if (file.mFailure) {
    return leaf::new_error(*file.mFailure);
  }
  return {};
}

result<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return leaf::new_error(config_failure{ aPath, 0, "", "cannot be opened" });
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace sapphirespar
