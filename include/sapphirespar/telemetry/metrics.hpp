// Counters, gauges and duration histograms of one process, rendered in the
// Prometheus text format. Safe on any thread.
#pragma once

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirespar {

struct metric_label
{
  std::string_view mKey;
  std::string_view mValue;
};

using metric_labels = std::initializer_list<metric_label>;

class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Adds to a counter.
  void Count(std::string_view aName,
             metric_labels aLabels = {},
             double aAmount = 1);

  // Sets a gauge.
  void Set(std::string_view aName, metric_labels aLabels, double aValue);

  // Adds a duration to a histogram in milliseconds, with logarithmic buckets
  // from 0.1 ms to ten minutes.
  void Observe(std::string_view aName,
               metric_labels aLabels,
               std::chrono::nanoseconds aDuration);

  // Returns the current value of a counter or gauge, or zero if it has not been
  // set.
  double Value(std::string_view aName, metric_labels aLabels = {}) const;

  // Returns all metrics as Prometheus text.
  std::string Render() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar
