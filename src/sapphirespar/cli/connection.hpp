// Blocking calls to the platform, to routers and to engines.
#pragma once

#include "sapphirespar/config/bundle_acceptance.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/upstream/object_update.hpp"
#include "sapphirespar/upstream/order_controller.hpp"
#include "sapphirespar/wire/byte_stream.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/tls.hpp"

#include <optional>
#include <string>

namespace sapphirespar::cli {

// Where to connect and how, as given on the command line.
struct connection_options
{
  // Addresses are ADDRESS:PORT.
  std::string mPlatform;
  std::string mRouter;
  wire::tls_context_files mTls;
};

// Why a call returned no result, such as an invalid address or a timeout.
struct connection_failure
{
  std::string mProblem;
};

template<class T>
using connection_result = boost::outcome_v2::
  basic_result<T, connection_failure, boost::outcome_v2::policy::all_narrow>;

// Splits ADDRESS:PORT at its last colon; returns nothing if the text has no
// colon or no valid port.
std::optional<wire::endpoint> ParseEndpoint(const std::string& aText);

// Reads an object of the platform. A missing object is no failure: the result
// has the status NotFound.
connection_result<object_answer> FetchObject(const connection_options& aOptions,
                                             const object_key& aKey);

// Puts a signed bundle into force at the platform and waits for the result.
connection_result<acceptance_result> RunAcceptance(
  const connection_options& aOptions,
  acceptance_settings aSettings,
  const std::string& aSignedBundle);

// Changes one object at the platform as aDecide chooses from its current value.
connection_result<upstream::update_status> RunUpdate(
  const connection_options& aOptions,
  object_key aKey,
  upstream::change_decision aDecide);

// Sends one order to an engine over plain TCP and waits for its outcome.
connection_result<upstream::order_outcome> RunOrder(
  const connection_options& aOptions,
  const upstream_spec& aEngine,
  const upstream::engine_order& aOrder);

// Fetches the page aTarget of a router.
connection_result<wire::http_response> FetchPage(
  const connection_options& aOptions,
  const std::string& aTarget);

} // namespace sapphirespar::cli
