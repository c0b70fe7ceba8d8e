#ifndef gossip_TYPES_H
#define gossip_TYPES_H

#include <iosfwd>

#include <thrift/Thrift.h>
#include <thrift/TApplicationException.h>
#include <thrift/TBase.h>
#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TTransport.h>

#include <functional>
#include <memory>


namespace sapphirespar { namespace wire { namespace gen {

class gossip_load;

class gossip_zone;

class gossip_state;

typedef struct _gossip_load__isset {
  _gossip_load__isset() : upstream(false), urgent_tokens(false), other_tokens(false), memory_tokens(false), running(false), interactive(false) {}
  bool upstream :1;
  bool urgent_tokens :1;
  bool other_tokens :1;
  bool memory_tokens :1;
  bool running :1;
  bool interactive :1;
} _gossip_load__isset;

class gossip_load : public virtual ::apache::thrift::TBase {
 public:

  gossip_load(const gossip_load&) noexcept;
  gossip_load(gossip_load&&) noexcept;
  gossip_load& operator=(const gossip_load&) noexcept;
  gossip_load& operator=(gossip_load&&) noexcept;
  gossip_load() noexcept
              : upstream(0),
                urgent_tokens(0),
                other_tokens(0),
                memory_tokens(0),
                running(0),
                interactive(0) {
  }

  virtual ~gossip_load() noexcept;
  int64_t upstream;
  int32_t urgent_tokens;
  int32_t other_tokens;
  int32_t memory_tokens;
  int32_t running;
  int32_t interactive;

  _gossip_load__isset __isset;

  void __set_upstream(const int64_t val);

  void __set_urgent_tokens(const int32_t val);

  void __set_other_tokens(const int32_t val);

  void __set_memory_tokens(const int32_t val);

  void __set_running(const int32_t val);

  void __set_interactive(const int32_t val);

  bool operator == (const gossip_load & rhs) const
  {
    if (!(upstream == rhs.upstream))
      return false;
    if (!(urgent_tokens == rhs.urgent_tokens))
      return false;
    if (!(other_tokens == rhs.other_tokens))
      return false;
    if (!(memory_tokens == rhs.memory_tokens))
      return false;
    if (!(running == rhs.running))
      return false;
    if (!(interactive == rhs.interactive))
      return false;
    return true;
  }
  bool operator != (const gossip_load &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_load & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_load &a, gossip_load &b);

std::ostream& operator<<(std::ostream& out, const gossip_load& obj);

typedef struct _gossip_zone__isset {
  _gossip_zone__isset() : data_centre(false), age_ms(false), loads(false) {}
  bool data_centre :1;
  bool age_ms :1;
  bool loads :1;
} _gossip_zone__isset;

class gossip_zone : public virtual ::apache::thrift::TBase {
 public:

  gossip_zone(const gossip_zone&);
  gossip_zone(gossip_zone&&) noexcept;
  gossip_zone& operator=(const gossip_zone&);
  gossip_zone& operator=(gossip_zone&&) noexcept;
  gossip_zone() noexcept
              : data_centre(),
                age_ms(0) {
  }

  virtual ~gossip_zone() noexcept;
  std::string data_centre;
  int32_t age_ms;
  std::vector<gossip_load>  loads;

  _gossip_zone__isset __isset;

  void __set_data_centre(const std::string& val);

  void __set_age_ms(const int32_t val);

  void __set_loads(const std::vector<gossip_load> & val);

  bool operator == (const gossip_zone & rhs) const
  {
    if (!(data_centre == rhs.data_centre))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    if (!(loads == rhs.loads))
      return false;
    return true;
  }
  bool operator != (const gossip_zone &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_zone & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_zone &a, gossip_zone &b);

std::ostream& operator<<(std::ostream& out, const gossip_zone& obj);

typedef struct _gossip_state__isset {
  _gossip_state__isset() : vm(false), incarnation(false), sequence(false), data_centre(false), address(false), caller_port(false), admin_port(false), ready(false), leaving(false), loads(false), asks(false), answers(false), routing_age_ms(false), upstreams_age_ms(false), upstreams_digest(false), interactive_reading(false), bulk_reading(false), processor(false), zones(false), leaving_upstreams(false), store_era(false), routing_version(false) {}
  bool vm :1;
  bool incarnation :1;
  bool sequence :1;
  bool data_centre :1;
  bool address :1;
  bool caller_port :1;
  bool admin_port :1;
  bool ready :1;
  bool leaving :1;
  bool loads :1;
  bool asks :1;
  bool answers :1;
  bool routing_age_ms :1;
  bool upstreams_age_ms :1;
  bool upstreams_digest :1;
  bool interactive_reading :1;
  bool bulk_reading :1;
  bool processor :1;
  bool zones :1;
  bool leaving_upstreams :1;
  bool store_era :1;
  bool routing_version :1;
} _gossip_state__isset;

class gossip_state : public virtual ::apache::thrift::TBase {
 public:

  gossip_state(const gossip_state&);
  gossip_state(gossip_state&&) noexcept;
  gossip_state& operator=(const gossip_state&);
  gossip_state& operator=(gossip_state&&) noexcept;
  gossip_state() noexcept
               : vm(),
                 incarnation(0),
                 sequence(0),
                 data_centre(),
                 address(),
                 caller_port(0),
                 admin_port(0),
                 ready(0),
                 leaving(0),
                 asks(0),
                 answers(0),
                 routing_age_ms(0),
                 upstreams_age_ms(0),
                 upstreams_digest(0),
                 interactive_reading(0),
                 bulk_reading(0),
                 processor(0),
                 store_era(0),
                 routing_version(0) {
  }

  virtual ~gossip_state() noexcept;
  std::string vm;
  int64_t incarnation;
  int64_t sequence;
  std::string data_centre;
  std::string address;
  int32_t caller_port;
  int32_t admin_port;
  bool ready;
  bool leaving;
  std::vector<gossip_load>  loads;
  bool asks;
  int64_t answers;
  int32_t routing_age_ms;
  int32_t upstreams_age_ms;
  int64_t upstreams_digest;
  int32_t interactive_reading;
  int32_t bulk_reading;
  int32_t processor;
  std::vector<gossip_zone>  zones;
  std::vector<int64_t>  leaving_upstreams;
  int64_t store_era;
  int64_t routing_version;

  _gossip_state__isset __isset;

  void __set_vm(const std::string& val);

  void __set_incarnation(const int64_t val);

  void __set_sequence(const int64_t val);

  void __set_data_centre(const std::string& val);

  void __set_address(const std::string& val);

  void __set_caller_port(const int32_t val);

  void __set_admin_port(const int32_t val);

  void __set_ready(const bool val);

  void __set_leaving(const bool val);

  void __set_loads(const std::vector<gossip_load> & val);

  void __set_asks(const bool val);

  void __set_answers(const int64_t val);

  void __set_routing_age_ms(const int32_t val);

  void __set_upstreams_age_ms(const int32_t val);

  void __set_upstreams_digest(const int64_t val);

  void __set_interactive_reading(const int32_t val);

  void __set_bulk_reading(const int32_t val);

  void __set_processor(const int32_t val);

  void __set_zones(const std::vector<gossip_zone> & val);

  void __set_leaving_upstreams(const std::vector<int64_t> & val);

  void __set_store_era(const int64_t val);

  void __set_routing_version(const int64_t val);

  bool operator == (const gossip_state & rhs) const
  {
    if (!(vm == rhs.vm))
      return false;
    if (!(incarnation == rhs.incarnation))
      return false;
    if (!(sequence == rhs.sequence))
      return false;
    if (!(data_centre == rhs.data_centre))
      return false;
    if (!(address == rhs.address))
      return false;
    if (!(caller_port == rhs.caller_port))
      return false;
    if (!(admin_port == rhs.admin_port))
      return false;
    if (!(ready == rhs.ready))
      return false;
    if (!(leaving == rhs.leaving))
      return false;
    if (!(loads == rhs.loads))
      return false;
    if (!(asks == rhs.asks))
      return false;
    if (!(answers == rhs.answers))
      return false;
    if (!(routing_age_ms == rhs.routing_age_ms))
      return false;
    if (!(upstreams_age_ms == rhs.upstreams_age_ms))
      return false;
    if (!(upstreams_digest == rhs.upstreams_digest))
      return false;
    if (!(interactive_reading == rhs.interactive_reading))
      return false;
    if (!(bulk_reading == rhs.bulk_reading))
      return false;
    if (!(processor == rhs.processor))
      return false;
    if (!(zones == rhs.zones))
      return false;
    if (!(leaving_upstreams == rhs.leaving_upstreams))
      return false;
    if (!(store_era == rhs.store_era))
      return false;
    if (!(routing_version == rhs.routing_version))
      return false;
    return true;
  }
  bool operator != (const gossip_state &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_state & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_state &a, gossip_state &b);

std::ostream& operator<<(std::ostream& out, const gossip_state& obj);

}}} // namespace

#endif
