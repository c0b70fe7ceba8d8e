// Decides which share of the engines serves interactive work, from the slots
// and the prefill time that each kind of work uses. Routers gossip both, so
// that all of them arrive at the same split.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

// Demand of one kind of work, in engines: the number whose slots it would fill
// and the number that the prefill of its prompts would keep busy.
struct work_demand
{
  double mSlots = 0;
  double mPrefill = 0;

  work_demand& operator+=(const work_demand& aOther)
  {
    mSlots += aOther.mSlots;
    mPrefill += aOther.mPrefill;
    return *this;
  }
};

struct engine_demand
{
  work_demand mInteractive;
  work_demand mBulk;

  engine_demand& operator+=(const engine_demand& aOther)
  {
    mInteractive += aOther.mInteractive;
    mBulk += aOther.mBulk;
    return *this;
  }
};

// Measures the engine time needed for the prefill of the prompts that one
// router sends.
class prefill_meter
{
public:
  // Records a prompt whose prefill takes an engine aPrefillMs milliseconds.
  void Add(bool aInteractive, double aPrefillMs, steady_time aNow);

  // Records a prompt that was refused for want of room.
  void AddRefused(double aPrefillMs, steady_time aNow);

  engine_demand Demand(steady_time aNow) const;

  // Returns the number of engines that the prefill of the refused prompts would
  // keep busy.
  double RefusedPrefill(steady_time aNow) const;

private:
  double DecayFactor(steady_time aNow) const;
  // Lets the sums decay until aNow.
  void Decay(steady_time aNow);

  // Exponentially decaying sums in milliseconds.
  double mInteractiveMs = 0;
  double mBulkMs = 0;
  double mRefusedMs = 0;
  steady_time mDecayedAt{};
};

// Returns the number of engines that refused prompts need beside those that
// run, from the sum of what prefill_meter::RefusedPrefill returns at all
// routers. Callers that are refused come back once, as a rule, so that two
// refusals stand for one request.
double EnginesForRefused(double aRefusedPrefill);

class engine_split
{
public:
  // Updates the split with the current total demand of all routers on aEngines
  // engines.
  void Update(const engine_demand& aDemand, double aEngines, steady_time aNow);

  // Returns the share of the engines for interactive work, between 0 and 1. The
  // share changes only when one kind is short of engines, because each change
  // moves shared prefixes to other engines.
  double Share() const { return mShare; }

  // Returns the number of engines that both kinds of work need, smoothed.
  double Needed() const { return mInteractive + mBulk; }

private:
  // Smoothed number of engines that each kind needs.
  double mInteractive = 0;
  double mBulk = 0;
  double mShare = 0.34;
  steady_time mUpdated{};
};

} // namespace sapphirespar::policy
