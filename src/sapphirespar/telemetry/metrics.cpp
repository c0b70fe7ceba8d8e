// Stores metrics, with histograms by Boost.Histogram, and renders them for
// Prometheus.
#include "sapphirespar/telemetry/metrics.hpp"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace sapphirespar {
namespace {

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using duration_histogram =
  decltype(bh::make_histogram(std::declval<log_axis>()));

constexpr unsigned kBuckets = 40;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 600'000;

struct duration_series
{
  duration_histogram mHistogram =
    bh::make_histogram(log_axis(kBuckets, kMinMs, kMaxMs));
  double mSumMs = 0;
};

// The name of a metric and its labels, as written in the text format.
struct series_key
{
  std::string mName;
  // For example `class="brief",tier="2"`; empty without labels.
  std::string mLabels;

  auto operator<=>(const series_key&) const = default;
};

series_key
MakeKey(std::string_view aName, metric_labels aLabels)
{
  series_key key{ std::string(aName), {} };
  for (const auto& label : aLabels) {
    if (!key.mLabels.empty()) {
      key.mLabels += ',';
    }
    key.mLabels += label.mKey;
    key.mLabels += "=\"";
    for (const char byte : label.mValue) {
      if (byte == '"' || byte == '\\') {
        key.mLabels += '\\';
      }
      key.mLabels += byte == '\n' ? ' ' : byte;
    }
    key.mLabels += '"';
  }
  return key;
}

std::string
Braced(const std::string& aLabels)
{
  return aLabels.empty() ? std::string{} : "{" + aLabels + "}";
}

void
RenderDurations(std::ostream& aOut,
                const series_key& aKey,
                const duration_series& aSeries)
{
  const auto prefix = aKey.mLabels.empty() ? "" : aKey.mLabels + ",";
  double total = aSeries.mHistogram.at(-1);
  for (int bucket = 0; bucket < static_cast<int>(kBuckets); ++bucket) {
    total += aSeries.mHistogram.at(bucket);
    aOut << aKey.mName << "_bucket{" << prefix << "le=\""
         << aSeries.mHistogram.axis().bin(bucket).upper() << "\"} " << total
         << '\n';
  }
  total += aSeries.mHistogram.at(static_cast<int>(kBuckets));
  aOut << aKey.mName << "_bucket{" << prefix << "le=\"+Inf\"} " << total << '\n'
       << aKey.mName << "_sum" << Braced(aKey.mLabels) << ' ' << aSeries.mSumMs
       << '\n'
       << aKey.mName << "_count" << Braced(aKey.mLabels) << ' ' << total
       << '\n';
}

} // namespace

struct metrics::state
{
  mutable std::mutex mMutex;
  std::map<series_key, double> mValues;
  std::map<series_key, duration_series> mDurations;
};

metrics::metrics()
  : mState(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void
metrics::Count(std::string_view aName, metric_labels aLabels, double aAmount)
{
  auto key = MakeKey(aName, aLabels);
  const std::lock_guard lock(mState->mMutex);
  mState->mValues[std::move(key)] += aAmount;
}

void
metrics::Set(std::string_view aName, metric_labels aLabels, double aValue)
{
  auto key = MakeKey(aName, aLabels);
  const std::lock_guard lock(mState->mMutex);
  mState->mValues[std::move(key)] = aValue;
}

void
metrics::Observe(std::string_view aName,
                 metric_labels aLabels,
                 std::chrono::nanoseconds aDuration)
{
  const auto milliseconds =
    std::chrono::duration<double, std::milli>(aDuration).count();
  auto key = MakeKey(aName, aLabels);
  const std::lock_guard lock(mState->mMutex);
  auto& series = mState->mDurations[std::move(key)];
  series.mHistogram(milliseconds);
  series.mSumMs += milliseconds;
}

double
metrics::Value(std::string_view aName, metric_labels aLabels) const
{
  const auto key = MakeKey(aName, aLabels);
  const std::lock_guard lock(mState->mMutex);
  const auto found = mState->mValues.find(key);
  return found == mState->mValues.end() ? 0 : found->second;
}

std::string
metrics::Render() const
{
  std::ostringstream out;
  const std::lock_guard lock(mState->mMutex);
  for (const auto& [key, value] : mState->mValues) {
    out << key.mName << Braced(key.mLabels) << ' ' << value << '\n';
  }
  for (const auto& [key, series] : mState->mDurations) {
    RenderDurations(out, key, series);
  }
  return out.str();
}

} // namespace sapphirespar
