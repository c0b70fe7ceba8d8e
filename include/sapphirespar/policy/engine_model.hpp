// Learns the speed of the engines of a pool from the times of their answers.
// Starts from configured figures, so that the first requests are placed well.
#pragma once

#include "sapphirespar/model/engine_figures.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace sapphirespar::policy {

// Returns the milliseconds that an engine needs to process aTokens prompt
// tokens.
double PrefillMs(const engine_figures& aFigures, double aTokens);

// Returns by how many milliseconds aRunning requests lengthen the processing of
// aTokens prompt tokens: the engine generates a token of each between two
// chunks. The rate of the prefill covers the constant part of these steps.
double SlowdownMs(const engine_figures& aFigures,
                  double aTokens,
                  unsigned aRunning);

// Returns the milliseconds between two events of a stream of aTokensPerEvent
// tokens per event while its engine generates tokens of aRunning requests and
// processes one chunk of prompts after another.
double StalledGapMs(const engine_figures& aFigures,
                    unsigned aTokensPerEvent,
                    unsigned aRunning);

// An estimate of a quantile of positive samples.
struct quantile_estimate
{
  explicit quantile_estimate(double aStart)
    : mStart(aStart)
    , mValue(aStart)
  {
  }

  double mStart;
  double mValue;
  unsigned mSamples = 0;
};

// How fast one engine generates tokens while no prefill stalls it. Engines of a
// pool may differ in speed.
class engine_pace
{
public:
  // Records the time that a token took beside aRunning requests.
  void Add(double aTokenMs, const engine_figures& aFigures, unsigned aRunning);

  // Records the step that another gateway has learned, in milliseconds.
  void AddReport(double aStepMs);

  // The step learned from enough samples of this gateway's own streams; nothing
  // before. For other gateways.
  std::optional<double> OwnStepMs() const;

  // Returns how many times as long as the quicker engines of the pool this one
  // takes; 1 if it hardly differs or is not known.
  double Slowness(const engine_figures& aFigures) const;

  // Returns the expected time of a token beside aRunning requests; that of the
  // slowest possible engine before enough samples.
  double TokenMs(const engine_figures& aFigures, unsigned aRunning) const;

private:
  // Without the part that other requests add.
  std::optional<quantile_estimate> mStepMs;
  // Samples of this gateway's own streams.
  unsigned mOwnSamples = 0;
};

// Each sample moves an estimate by a limited factor towards itself, however far
// away it is, and by a few per cent once there have been some. So lost, late or
// wrong answers, and a minority of engines with another speed, do not distort
// the estimates. A figure never leaves the range of kMaximumFactor times below
// and above its start.
class engine_model
{
public:
  static constexpr double kMaximumFactor = 16;

  explicit engine_model(const engine_figures& aStart);

  // The current estimates.
  const engine_figures& Figures() const { return mFigures; }

  // Records the time until the first event of a prompt with aPrefillTokens
  // tokens to process and hardly any other work ahead of it.
  void AddFirstEvent(double aPrefillTokens, double aTookMs);

  // Number of successive gaps that AddGaps compares.
  static constexpr std::size_t kGaps = 4;

  // Records the latest gaps between events of a stream, oldest first, in
  // milliseconds. Each event holds aTokensPerEvent tokens, and aRunning
  // requests ran at the engine, whose pace is aPace.
  void AddGaps(std::span<const double, kGaps> aGaps,
               unsigned aTokensPerEvent,
               unsigned aRunning,
               engine_pace& aPace);

private:
  engine_figures mFigures;
  // The learned figures; the rate is tracked as its inverse, since a prompt may
  // take no measurable time.
  quantile_estimate mTokenMs;
  quantile_estimate mFirstEventMs;
  quantile_estimate mChunkTokens;
  quantile_estimate mStepMs;
};

// The models of all pools of engines.
class engine_models
{
public:
  explicit engine_models(const engine_figures& aStart = {})
    : mStart(aStart)
  {
  }

  engine_model& Of(const std::string& aPool)
  {
    return mModels.try_emplace(aPool, mStart).first->second;
  }

  const std::map<std::string, engine_model>& All() const { return mModels; }

private:
  engine_figures mStart;
  std::map<std::string, engine_model> mModels;
};

} // namespace sapphirespar::policy
