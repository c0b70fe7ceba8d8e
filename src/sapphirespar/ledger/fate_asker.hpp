// Asks other processes how a request ended.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sapphirespar::ledger {

// Nothing if no answer came in time.
using fate_callback = std::function<void(std::optional<outcome>)>;

class fate_asker
{
public:
  fate_asker(peer_network& aPeers,
             timer_service& aTimers,
             const at_most_once_settings& aSettings);

  // Asks aHolder, again and again until it answers or time is up.
  void Ask(const process_id& aHolder,
           outcome_query aQuestion,
           fate_callback aDone);

  // Ignores an answer that was not asked for.
  void OnAnswer(const process_id& aFrom, const outcome_answer& aAnswer);

private:
  using question_id = std::pair<std::string, request_id>;

  struct question
  {
    process_id mHolder;
    outcome_query mRequest;
    // All who want to know.
    std::vector<fate_callback> mDone;
    steady_time mDeadline{};
    timer_subscription mResend;
  };

  void Resend(const question_id& aId);
  void End(const question_id& aId, std::optional<outcome> aOutcome);

  peer_network& mPeers;
  timer_service& mTimers;
  const at_most_once_settings mSettings;
  std::map<question_id, question> mQuestions;
};

} // namespace sapphirespar::ledger
