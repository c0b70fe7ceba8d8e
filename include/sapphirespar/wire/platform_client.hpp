// Client of the platform's object API over HTTP; see docs/PLATFORM-API.md.
#pragma once

#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace sapphirespar::wire {

struct platform_client_settings
{
  endpoint mPlatform;
  // Timeout of one call. The wait of a watch is added to it.
  std::chrono::milliseconds mTimeout{ 2000 };
  // Null means plain TCP.
  tls_context_ptr mTls;
  // Called for each call that is sent, with its method and the kind of objects;
  // may be null.
  std::function<void(std::string_view aMethod, std::string_view aKind)> mOnCall;
};

// Callbacks run on the given executor. The callback of a call that is in
// progress when the client is destroyed is never called.
class platform_client : public platform_api
{
public:
  platform_client(asio::any_io_executor aExecutor,
                  platform_client_settings aSettings);
  ~platform_client() override;

  void Get(object_key aKey, object_callback aDone) override;
  void List(std::string aKind, list_callback aDone) override;
  void Put(object_key aKey,
           std::string aValue,
           object_version aExpected,
           object_callback aDone) override;
  void Delete(object_key aKey,
              object_version aExpected,
              object_callback aDone) override;
  void Watch(std::string aKind,
             object_version aFrom,
             std::chrono::milliseconds aWait,
             list_callback aDone) override;
  void ListVms(vm_list_callback aDone) override;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::wire
