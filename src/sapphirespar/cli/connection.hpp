// Calls to the platform and to routers from a program that waits for each.
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
  // ADDRESS:PORT.
  std::string mPlatform;
  std::string mRouter;
  wire::tls_context_files mTls;
};

// What went wrong before or instead of an answer.
struct connection_failure
{
  std::string mProblem;
};

template<class T>
using connection_result = boost::outcome_v2::
  basic_result<T, connection_failure, boost::outcome_v2::policy::all_narrow>;

// Splits ADDRESS:PORT at its last colon; nothing if it is not that.
std::optional<wire::endpoint> ParseEndpoint(const std::string& aText);

// Reads an object of the platform, which may be found or not.
connection_result<object_answer> FetchObject(const connection_options& aOptions,
                                             const object_key& aKey);

// Runs an acceptance to its end.
connection_result<acceptance_result> RunAcceptance(
  const connection_options& aOptions,
  acceptance_settings aSettings,
  const std::string& aSignedBundle);

// Changes one object at the platform.
connection_result<upstream::update_status> RunUpdate(
  const connection_options& aOptions,
  object_key aKey,
  upstream::change_decision aDecide);

// Gives one order to an engine, over plain TCP, and waits for its end.
connection_result<upstream::order_outcome> RunOrder(
  const connection_options& aOptions,
  const upstream_spec& aEngine,
  const upstream::engine_order& aOrder);

// Gets a page of a router.
connection_result<wire::http_response> FetchPage(
  const connection_options& aOptions,
  const std::string& aTarget);

} // namespace sapphirespar::cli
