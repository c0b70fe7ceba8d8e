// Queries other processes for the outcome of a request.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sapphirespar::ledger {

// Called with nothing if the query timed out.
using outcome_callback = std::function<void(std::optional<outcome>)>;

class outcome_client
{
public:
  outcome_client(peer_network& aPeers,
                 timer_service& aTimers,
                 const at_most_once_settings& aSettings);

  // Sends aQuery to aHolder and resends it until aHolder answers or the query
  // times out. A query for the same key and attempt that is already pending is
  // joined instead.
  void Query(const process_id& aHolder,
             outcome_query aQuery,
             outcome_callback aDone);

  // Ignores an answer that matches no pending query to aFrom.
  void OnAnswer(const process_id& aFrom, const outcome_answer& aAnswer);

private:
  using query_id = std::pair<std::string, request_id>;

  struct pending_query
  {
    process_id mHolder;
    outcome_query mRequest;
    // Callbacks of all callers that wait for this answer.
    std::vector<outcome_callback> mDone;
    steady_time mDeadline{};
    timer_subscription mResend;
  };

  void Resend(const query_id& aId);
  void Complete(const query_id& aId, std::optional<outcome> aOutcome);

  peer_network& mPeers;
  timer_service& mTimers;
  const at_most_once_settings mSettings;
  std::map<query_id, pending_query> mQueries;
};

} // namespace sapphirespar::ledger
