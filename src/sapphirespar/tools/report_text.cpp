// Formats reports as text tables and as JSON, and parses the JSON.
#include "sapphirespar/tools/report.hpp"

#include "sapphirespar/config/toml_reader.hpp"

#include "standin_http.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace sapphirespar::tools {
namespace {

constexpr int kNameWidth = 22;
constexpr int kColumnWidth = 10;
constexpr double kPercent = 100;

// Writes one table cell, right-aligned.
template<class T>
void
WriteCell(std::ostream& aOut, const T& aValue)
{
  aOut << std::right << std::setw(kColumnWidth) << aValue;
}

void
WriteName(std::ostream& aOut, std::string_view aName)
{
  aOut << std::left << std::setw(kNameWidth) << aName;
}

void
WriteClassRow(std::ostream& aOut, const class_report& aClass)
{
  WriteName(aOut, aClass.mClass);
  for (const auto count : { aClass.mOffered,
                            aClass.mInTime,
                            aClass.mLate,
                            aClass.mRefused,
                            aClass.mUnknown + aClass.mDoneUnanswered,
                            aClass.mWastedTokens }) {
    WriteCell(aOut, count);
  }
  for (const double number : { kPercent * aClass.Attainment(),
                               aClass.mFirstToken.mP50,
                               aClass.mFirstToken.mP95,
                               aClass.mTotal.mP95 }) {
    WriteCell(aOut, number);
  }
  aOut << '\n';
}

json::object
ToJson(const quantiles& aTimes)
{
  json::object body;
  body["p50"] = aTimes.mP50;
  body["p95"] = aTimes.mP95;
  body["p99"] = aTimes.mP99;
  return body;
}

json::object
ToJson(const class_report& aClass)
{
  json::object body;
  body["class"] = aClass.mClass;
  body["offered"] = aClass.mOffered;
  body["in_time"] = aClass.mInTime;
  body["late"] = aClass.mLate;
  body["refused"] = aClass.mRefused;
  body["unknown"] = aClass.mUnknown;
  body["done_unanswered"] = aClass.mDoneUnanswered;
  body["good_tokens"] = aClass.mGoodTokens;
  body["wasted_tokens"] = aClass.mWastedTokens;
  body["attainment"] = aClass.Attainment();
  body["first_token_ms"] = ToJson(aClass.mFirstToken);
  body["total_ms"] = ToJson(aClass.mTotal);
  return body;
}

json::object
ToJson(const promise_report& aPromise)
{
  json::object body;
  body["promise"] = aPromise.mName;
  body["checked"] = aPromise.mChecked;
  body["broken"] = aPromise.mBroken;
  body["example"] = aPromise.mExample;
  return body;
}

json::object
ToJson(const interval_report& aInterval)
{
  json::object body;
  body["from_ms"] = aInterval.mFrom.count();
  body["class"] = aInterval.mClass;
  body["offered"] = aInterval.mOffered;
  body["in_time"] = aInterval.mInTime;
  return body;
}

json::object
ToJson(const reason_count& aReason)
{
  json::object body;
  body["class"] = aReason.mClass;
  body["reason"] = aReason.mReason;
  body["count"] = aReason.mCount;
  return body;
}

template<class Item>
json::array
ToArray(const std::vector<Item>& aItems)
{
  json::array list;
  for (const auto& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list;
}

std::uint64_t
Number(const json::object& aObject, std::string_view aKey)
{
  return static_cast<std::uint64_t>(NumberOr(aObject, aKey, 0));
}

quantiles
ReadQuantiles(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_object()) {
    return {};
  }
  const auto& times = value->as_object();
  return { NumberOr(times, "p50", 0),
           NumberOr(times, "p95", 0),
           NumberOr(times, "p99", 0) };
}

class_report
ReadClass(const json::object& aObject)
{
  class_report item;
  item.mClass = TextOr(aObject, "class", "");
  item.mOffered = Number(aObject, "offered");
  item.mInTime = Number(aObject, "in_time");
  item.mLate = Number(aObject, "late");
  item.mRefused = Number(aObject, "refused");
  item.mUnknown = Number(aObject, "unknown");
  item.mDoneUnanswered = Number(aObject, "done_unanswered");
  item.mGoodTokens = Number(aObject, "good_tokens");
  item.mWastedTokens = Number(aObject, "wasted_tokens");
  item.mFirstToken = ReadQuantiles(aObject, "first_token_ms");
  item.mTotal = ReadQuantiles(aObject, "total_ms");
  return item;
}

promise_report
ReadPromise(const json::object& aObject)
{
  return { TextOr(aObject, "promise", ""),
           Number(aObject, "checked"),
           Number(aObject, "broken"),
           TextOr(aObject, "example", "") };
}

interval_report
ReadInterval(const json::object& aObject)
{
  return { std::chrono::milliseconds(Number(aObject, "from_ms")),
           TextOr(aObject, "class", ""),
           Number(aObject, "offered"),
           Number(aObject, "in_time") };
}

reason_count
ReadReason(const json::object& aObject)
{
  return { TextOr(aObject, "class", ""),
           TextOr(aObject, "reason", ""),
           Number(aObject, "count") };
}

template<class Item>
void
ReadItems(const json::object& aObject,
          std::string_view aKey,
          Item (*aRead)(const json::object&),
          std::vector<Item>& aItems)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_array()) {
    return;
  }
  for (const auto& item : value->as_array()) {
    if (item.is_object()) {
      aItems.push_back(aRead(item.as_object()));
    }
  }
}

// Writes the numbers of two runs and their difference.
void
WriteComparison(std::ostream& aOut, double aFirst, double aSecond)
{
  WriteCell(aOut, aFirst);
  WriteCell(aOut, aSecond);
  std::ostringstream change;
  change << std::fixed << std::setprecision(1) << std::showpos
         << aSecond - aFirst;
  WriteCell(aOut, change.str());
}

} // namespace

std::string
ToTable(const load_report& aReport)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  WriteName(out, "class");
  for (const auto* title : { "offered",
                             "in time",
                             "late",
                             "refused",
                             "unknown",
                             "wasted",
                             "attain %",
                             "ttft p50",
                             "ttft p95",
                             "total p95" }) {
    WriteCell(out, title);
  }
  out << '\n';
  for (const auto& item : aReport.mClasses) {
    WriteClassRow(out, item);
  }
  for (const auto& item : aReport.mReasons) {
    out << "  " << item.mClass << ": " << item.mCount << " x " << item.mReason
        << '\n';
  }
  for (const auto& item : aReport.mPromises) {
    out << (item.mBroken == 0 ? "kept    " : "BROKEN  ") << item.mName << ": "
        << item.mChecked << " checked, " << item.mBroken << " broken"
        << (item.mExample.empty() ? "" : " (" + item.mExample + ")") << '\n';
  }
  if (aReport.mTokensGenerated > 0) {
    out << "tokens generated by engines: " << aReport.mTokensGenerated << '\n';
  }
  if (aReport.mUnreachableUpstreams > 0) {
    out << "upstreams that could not be audited: "
        << aReport.mUnreachableUpstreams << '\n';
  }
  return out.str();
}

std::string
Compare(const load_report& aFirst, const load_report& aSecond)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  WriteName(out, "class");
  for (const auto* title : { "attain A",
                             "attain B",
                             "change",
                             "wasted A",
                             "wasted B",
                             "change",
                             "total A",
                             "total B",
                             "change" }) {
    WriteCell(out, title);
  }
  out << '\n';
  for (const auto& first : aFirst.mClasses) {
    const auto second =
      std::ranges::find(aSecond.mClasses, first.mClass, &class_report::mClass);
    if (second == aSecond.mClasses.end()) {
      continue;
    }
    WriteName(out, first.mClass);
    WriteComparison(
      out, kPercent * first.Attainment(), kPercent * second->Attainment());
    WriteComparison(out,
                    static_cast<double>(first.mWastedTokens),
                    static_cast<double>(second->mWastedTokens));
    WriteComparison(out, first.mTotal.mP95, second->mTotal.mP95);
    out << '\n';
  }
  return out.str();
}

std::string
ToJsonText(const load_report& aReport)
{
  json::object body;
  body["name"] = aReport.mName;
  body["seed"] = aReport.mSeed;
  body["duration_ms"] = aReport.mDuration.count();
  body["tokens_generated"] = aReport.mTokensGenerated;
  body["unreachable_upstreams"] = aReport.mUnreachableUpstreams;
  body["classes"] = ToArray(aReport.mClasses);
  body["promises"] = ToArray(aReport.mPromises);
  body["reasons"] = ToArray(aReport.mReasons);
  body["spans"] = ToArray(aReport.mIntervals);
  return json::serialize(body) + "\n";
}

result<load_report>
ReadReport(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  const auto body = ParseObject(text);
  if (!body) {
    return leaf::new_error(
      config_failure{ aPath, 0, "", "expected the JSON report of a run" });
  }
  load_report report;
  report.mName = TextOr(*body, "name", "");
  report.mSeed = Number(*body, "seed");
  report.mDuration = std::chrono::milliseconds(Number(*body, "duration_ms"));
  report.mTokensGenerated = Number(*body, "tokens_generated");
  report.mUnreachableUpstreams =
    static_cast<unsigned>(Number(*body, "unreachable_upstreams"));
  ReadItems(*body, "classes", ReadClass, report.mClasses);
  ReadItems(*body, "promises", ReadPromise, report.mPromises);
  ReadItems(*body, "reasons", ReadReason, report.mReasons);
  ReadItems(*body, "spans", ReadInterval, report.mIntervals);
  return report;
}

} // namespace sapphirespar::tools
