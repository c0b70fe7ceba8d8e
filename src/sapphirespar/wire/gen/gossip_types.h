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

class gossip_part_crash;

class gossip_upstream_loss;

class gossip_part_survival;

class gossip_pool_survival;

class gossip_upstream_sign;

class gossip_quarantine;

class gossip_crash_report;

class gossip_upstream_rate;

class gossip_upstream_pause;

class gossip_rationed_pool;

class gossip_duties;

class gossip_engine_pace;

class gossip_state;

class gossip_stream_version;

class gossip_pool_software;

class gossip_streams;

class gossip_usage_count;

class gossip_usage;

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

typedef struct _gossip_part_crash__isset {
  _gossip_part_crash__isset() : pool(false), part(false), upstream(false), age_ms(false), sent_age_ms(false), fingerprint(false) {}
  bool pool :1;
  bool part :1;
  bool upstream :1;
  bool age_ms :1;
  bool sent_age_ms :1;
  bool fingerprint :1;
} _gossip_part_crash__isset;

class gossip_part_crash : public virtual ::apache::thrift::TBase {
 public:

  gossip_part_crash(const gossip_part_crash&);
  gossip_part_crash(gossip_part_crash&&) noexcept;
  gossip_part_crash& operator=(const gossip_part_crash&);
  gossip_part_crash& operator=(gossip_part_crash&&) noexcept;
  gossip_part_crash() noexcept
                    : pool(),
                      part(0),
                      upstream(0),
                      age_ms(0),
                      sent_age_ms(0),
                      fingerprint(0) {
  }

  virtual ~gossip_part_crash() noexcept;
  std::string pool;
  int64_t part;
  int64_t upstream;
  int32_t age_ms;
  int32_t sent_age_ms;
  int64_t fingerprint;

  _gossip_part_crash__isset __isset;

  void __set_pool(const std::string& val);

  void __set_part(const int64_t val);

  void __set_upstream(const int64_t val);

  void __set_age_ms(const int32_t val);

  void __set_sent_age_ms(const int32_t val);

  void __set_fingerprint(const int64_t val);

  bool operator == (const gossip_part_crash & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(part == rhs.part))
      return false;
    if (!(upstream == rhs.upstream))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    if (__isset.sent_age_ms != rhs.__isset.sent_age_ms)
      return false;
    else if (__isset.sent_age_ms && !(sent_age_ms == rhs.sent_age_ms))
      return false;
    if (!(fingerprint == rhs.fingerprint))
      return false;
    return true;
  }
  bool operator != (const gossip_part_crash &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_part_crash & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_part_crash &a, gossip_part_crash &b);

std::ostream& operator<<(std::ostream& out, const gossip_part_crash& obj);

typedef struct _gossip_upstream_loss__isset {
  _gossip_upstream_loss__isset() : pool(false), upstream(false), age_ms(false) {}
  bool pool :1;
  bool upstream :1;
  bool age_ms :1;
} _gossip_upstream_loss__isset;

class gossip_upstream_loss : public virtual ::apache::thrift::TBase {
 public:

  gossip_upstream_loss(const gossip_upstream_loss&);
  gossip_upstream_loss(gossip_upstream_loss&&) noexcept;
  gossip_upstream_loss& operator=(const gossip_upstream_loss&);
  gossip_upstream_loss& operator=(gossip_upstream_loss&&) noexcept;
  gossip_upstream_loss() noexcept
                       : pool(),
                         upstream(0),
                         age_ms(0) {
  }

  virtual ~gossip_upstream_loss() noexcept;
  std::string pool;
  int64_t upstream;
  int32_t age_ms;

  _gossip_upstream_loss__isset __isset;

  void __set_pool(const std::string& val);

  void __set_upstream(const int64_t val);

  void __set_age_ms(const int32_t val);

  bool operator == (const gossip_upstream_loss & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(upstream == rhs.upstream))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_upstream_loss &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_upstream_loss & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_upstream_loss &a, gossip_upstream_loss &b);

std::ostream& operator<<(std::ostream& out, const gossip_upstream_loss& obj);

typedef struct _gossip_part_survival__isset {
  _gossip_part_survival__isset() : pool(false), part(false), age_ms(false) {}
  bool pool :1;
  bool part :1;
  bool age_ms :1;
} _gossip_part_survival__isset;

class gossip_part_survival : public virtual ::apache::thrift::TBase {
 public:

  gossip_part_survival(const gossip_part_survival&);
  gossip_part_survival(gossip_part_survival&&) noexcept;
  gossip_part_survival& operator=(const gossip_part_survival&);
  gossip_part_survival& operator=(gossip_part_survival&&) noexcept;
  gossip_part_survival() noexcept
                       : pool(),
                         part(0),
                         age_ms(0) {
  }

  virtual ~gossip_part_survival() noexcept;
  std::string pool;
  int64_t part;
  int32_t age_ms;

  _gossip_part_survival__isset __isset;

  void __set_pool(const std::string& val);

  void __set_part(const int64_t val);

  void __set_age_ms(const int32_t val);

  bool operator == (const gossip_part_survival & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(part == rhs.part))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_part_survival &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_part_survival & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_part_survival &a, gossip_part_survival &b);

std::ostream& operator<<(std::ostream& out, const gossip_part_survival& obj);

typedef struct _gossip_pool_survival__isset {
  _gossip_pool_survival__isset() : pool(false), age_ms(false) {}
  bool pool :1;
  bool age_ms :1;
} _gossip_pool_survival__isset;

class gossip_pool_survival : public virtual ::apache::thrift::TBase {
 public:

  gossip_pool_survival(const gossip_pool_survival&);
  gossip_pool_survival(gossip_pool_survival&&) noexcept;
  gossip_pool_survival& operator=(const gossip_pool_survival&);
  gossip_pool_survival& operator=(gossip_pool_survival&&) noexcept;
  gossip_pool_survival() noexcept
                       : pool(),
                         age_ms(0) {
  }

  virtual ~gossip_pool_survival() noexcept;
  std::string pool;
  int32_t age_ms;

  _gossip_pool_survival__isset __isset;

  void __set_pool(const std::string& val);

  void __set_age_ms(const int32_t val);

  bool operator == (const gossip_pool_survival & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_pool_survival &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_pool_survival & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_pool_survival &a, gossip_pool_survival &b);

std::ostream& operator<<(std::ostream& out, const gossip_pool_survival& obj);

typedef struct _gossip_upstream_sign__isset {
  _gossip_upstream_sign__isset() : upstream(false), age_ms(false) {}
  bool upstream :1;
  bool age_ms :1;
} _gossip_upstream_sign__isset;

class gossip_upstream_sign : public virtual ::apache::thrift::TBase {
 public:

  gossip_upstream_sign(const gossip_upstream_sign&) noexcept;
  gossip_upstream_sign(gossip_upstream_sign&&) noexcept;
  gossip_upstream_sign& operator=(const gossip_upstream_sign&) noexcept;
  gossip_upstream_sign& operator=(gossip_upstream_sign&&) noexcept;
  gossip_upstream_sign() noexcept
                       : upstream(0),
                         age_ms(0) {
  }

  virtual ~gossip_upstream_sign() noexcept;
  int64_t upstream;
  int32_t age_ms;

  _gossip_upstream_sign__isset __isset;

  void __set_upstream(const int64_t val);

  void __set_age_ms(const int32_t val);

  bool operator == (const gossip_upstream_sign & rhs) const
  {
    if (!(upstream == rhs.upstream))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_upstream_sign &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_upstream_sign & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_upstream_sign &a, gossip_upstream_sign &b);

std::ostream& operator<<(std::ostream& out, const gossip_upstream_sign& obj);

typedef struct _gossip_quarantine__isset {
  _gossip_quarantine__isset() : pool(false), part(false), age_ms(false), seen_age_ms(false), trials(false), trial_age_ms(false) {}
  bool pool :1;
  bool part :1;
  bool age_ms :1;
  bool seen_age_ms :1;
  bool trials :1;
  bool trial_age_ms :1;
} _gossip_quarantine__isset;

class gossip_quarantine : public virtual ::apache::thrift::TBase {
 public:

  gossip_quarantine(const gossip_quarantine&);
  gossip_quarantine(gossip_quarantine&&) noexcept;
  gossip_quarantine& operator=(const gossip_quarantine&);
  gossip_quarantine& operator=(gossip_quarantine&&) noexcept;
  gossip_quarantine() noexcept
                    : pool(),
                      part(0),
                      age_ms(0),
                      seen_age_ms(0),
                      trials(0),
                      trial_age_ms(0) {
  }

  virtual ~gossip_quarantine() noexcept;
  std::string pool;
  int64_t part;
  int32_t age_ms;
  int32_t seen_age_ms;
  int32_t trials;
  int32_t trial_age_ms;

  _gossip_quarantine__isset __isset;

  void __set_pool(const std::string& val);

  void __set_part(const int64_t val);

  void __set_age_ms(const int32_t val);

  void __set_seen_age_ms(const int32_t val);

  void __set_trials(const int32_t val);

  void __set_trial_age_ms(const int32_t val);

  bool operator == (const gossip_quarantine & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(part == rhs.part))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    if (!(seen_age_ms == rhs.seen_age_ms))
      return false;
    if (!(trials == rhs.trials))
      return false;
    if (!(trial_age_ms == rhs.trial_age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_quarantine &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_quarantine & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_quarantine &a, gossip_quarantine &b);

std::ostream& operator<<(std::ostream& out, const gossip_quarantine& obj);

typedef struct _gossip_crash_report__isset {
  _gossip_crash_report__isset() : crashes(false), losses(false), survivals(false), pool_survivals(false), signs(false), quarantines(false) {}
  bool crashes :1;
  bool losses :1;
  bool survivals :1;
  bool pool_survivals :1;
  bool signs :1;
  bool quarantines :1;
} _gossip_crash_report__isset;

class gossip_crash_report : public virtual ::apache::thrift::TBase {
 public:

  gossip_crash_report(const gossip_crash_report&);
  gossip_crash_report(gossip_crash_report&&) noexcept;
  gossip_crash_report& operator=(const gossip_crash_report&);
  gossip_crash_report& operator=(gossip_crash_report&&) noexcept;
  gossip_crash_report() noexcept {
  }

  virtual ~gossip_crash_report() noexcept;
  std::vector<gossip_part_crash>  crashes;
  std::vector<gossip_upstream_loss>  losses;
  std::vector<gossip_part_survival>  survivals;
  std::vector<gossip_pool_survival>  pool_survivals;
  std::vector<gossip_upstream_sign>  signs;
  std::vector<gossip_quarantine>  quarantines;

  _gossip_crash_report__isset __isset;

  void __set_crashes(const std::vector<gossip_part_crash> & val);

  void __set_losses(const std::vector<gossip_upstream_loss> & val);

  void __set_survivals(const std::vector<gossip_part_survival> & val);

  void __set_pool_survivals(const std::vector<gossip_pool_survival> & val);

  void __set_signs(const std::vector<gossip_upstream_sign> & val);

  void __set_quarantines(const std::vector<gossip_quarantine> & val);

  bool operator == (const gossip_crash_report & rhs) const
  {
    if (!(crashes == rhs.crashes))
      return false;
    if (!(losses == rhs.losses))
      return false;
    if (!(survivals == rhs.survivals))
      return false;
    if (!(pool_survivals == rhs.pool_survivals))
      return false;
    if (!(signs == rhs.signs))
      return false;
    if (!(quarantines == rhs.quarantines))
      return false;
    return true;
  }
  bool operator != (const gossip_crash_report &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_crash_report & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_crash_report &a, gossip_crash_report &b);

std::ostream& operator<<(std::ostream& out, const gossip_crash_report& obj);

typedef struct _gossip_upstream_rate__isset {
  _gossip_upstream_rate__isset() : upstream(false), rate(false), age_ms(false) {}
  bool upstream :1;
  bool rate :1;
  bool age_ms :1;
} _gossip_upstream_rate__isset;

class gossip_upstream_rate : public virtual ::apache::thrift::TBase {
 public:

  gossip_upstream_rate(const gossip_upstream_rate&) noexcept;
  gossip_upstream_rate(gossip_upstream_rate&&) noexcept;
  gossip_upstream_rate& operator=(const gossip_upstream_rate&) noexcept;
  gossip_upstream_rate& operator=(gossip_upstream_rate&&) noexcept;
  gossip_upstream_rate() noexcept
                       : upstream(0),
                         rate(0),
                         age_ms(0) {
  }

  virtual ~gossip_upstream_rate() noexcept;
  int64_t upstream;
  int64_t rate;
  int32_t age_ms;

  _gossip_upstream_rate__isset __isset;

  void __set_upstream(const int64_t val);

  void __set_rate(const int64_t val);

  void __set_age_ms(const int32_t val);

  bool operator == (const gossip_upstream_rate & rhs) const
  {
    if (!(upstream == rhs.upstream))
      return false;
    if (!(rate == rhs.rate))
      return false;
    if (!(age_ms == rhs.age_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_upstream_rate &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_upstream_rate & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_upstream_rate &a, gossip_upstream_rate &b);

std::ostream& operator<<(std::ostream& out, const gossip_upstream_rate& obj);

typedef struct _gossip_upstream_pause__isset {
  _gossip_upstream_pause__isset() : upstream(false), left_ms(false) {}
  bool upstream :1;
  bool left_ms :1;
} _gossip_upstream_pause__isset;

class gossip_upstream_pause : public virtual ::apache::thrift::TBase {
 public:

  gossip_upstream_pause(const gossip_upstream_pause&) noexcept;
  gossip_upstream_pause(gossip_upstream_pause&&) noexcept;
  gossip_upstream_pause& operator=(const gossip_upstream_pause&) noexcept;
  gossip_upstream_pause& operator=(gossip_upstream_pause&&) noexcept;
  gossip_upstream_pause() noexcept
                        : upstream(0),
                          left_ms(0) {
  }

  virtual ~gossip_upstream_pause() noexcept;
  int64_t upstream;
  int32_t left_ms;

  _gossip_upstream_pause__isset __isset;

  void __set_upstream(const int64_t val);

  void __set_left_ms(const int32_t val);

  bool operator == (const gossip_upstream_pause & rhs) const
  {
    if (!(upstream == rhs.upstream))
      return false;
    if (!(left_ms == rhs.left_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_upstream_pause &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_upstream_pause & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_upstream_pause &a, gossip_upstream_pause &b);

std::ostream& operator<<(std::ostream& out, const gossip_upstream_pause& obj);

typedef struct _gossip_rationed_pool__isset {
  _gossip_rationed_pool__isset() : pool(false), tolerated(false), left_ms(false), work_ms(false) {}
  bool pool :1;
  bool tolerated :1;
  bool left_ms :1;
  bool work_ms :1;
} _gossip_rationed_pool__isset;

class gossip_rationed_pool : public virtual ::apache::thrift::TBase {
 public:

  gossip_rationed_pool(const gossip_rationed_pool&) noexcept;
  gossip_rationed_pool(gossip_rationed_pool&&) noexcept;
  gossip_rationed_pool& operator=(const gossip_rationed_pool&) noexcept;
  gossip_rationed_pool& operator=(gossip_rationed_pool&&) noexcept;
  gossip_rationed_pool() noexcept
                       : pool(0),
                         tolerated(0),
                         left_ms(0),
                         work_ms(0) {
  }

  virtual ~gossip_rationed_pool() noexcept;
  int64_t pool;
  int64_t tolerated;
  int32_t left_ms;
  int32_t work_ms;

  _gossip_rationed_pool__isset __isset;

  void __set_pool(const int64_t val);

  void __set_tolerated(const int64_t val);

  void __set_left_ms(const int32_t val);

  void __set_work_ms(const int32_t val);

  bool operator == (const gossip_rationed_pool & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(tolerated == rhs.tolerated))
      return false;
    if (!(left_ms == rhs.left_ms))
      return false;
    if (!(work_ms == rhs.work_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_rationed_pool &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_rationed_pool & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_rationed_pool &a, gossip_rationed_pool &b);

std::ostream& operator<<(std::ostream& out, const gossip_rationed_pool& obj);

typedef struct _gossip_duties__isset {
  _gossip_duties__isset() : wall_ms(false), token(false), fixed_window(false), refused_reading(false) {}
  bool wall_ms :1;
  bool token :1;
  bool fixed_window :1;
  bool refused_reading :1;
} _gossip_duties__isset;

class gossip_duties : public virtual ::apache::thrift::TBase {
 public:

  gossip_duties(const gossip_duties&) noexcept;
  gossip_duties(gossip_duties&&) noexcept;
  gossip_duties& operator=(const gossip_duties&) noexcept;
  gossip_duties& operator=(gossip_duties&&) noexcept;
  gossip_duties() noexcept
                : wall_ms(0),
                  token(0),
                  fixed_window(0),
                  refused_reading(0) {
  }

  virtual ~gossip_duties() noexcept;
  int64_t wall_ms;
  int64_t token;
  int64_t fixed_window;
  int32_t refused_reading;

  _gossip_duties__isset __isset;

  void __set_wall_ms(const int64_t val);

  void __set_token(const int64_t val);

  void __set_fixed_window(const int64_t val);

  void __set_refused_reading(const int32_t val);

  bool operator == (const gossip_duties & rhs) const
  {
    if (!(wall_ms == rhs.wall_ms))
      return false;
    if (!(token == rhs.token))
      return false;
    if (!(fixed_window == rhs.fixed_window))
      return false;
    if (!(refused_reading == rhs.refused_reading))
      return false;
    return true;
  }
  bool operator != (const gossip_duties &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_duties & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_duties &a, gossip_duties &b);

std::ostream& operator<<(std::ostream& out, const gossip_duties& obj);

typedef struct _gossip_engine_pace__isset {
  _gossip_engine_pace__isset() : upstream(false), step_us(false) {}
  bool upstream :1;
  bool step_us :1;
} _gossip_engine_pace__isset;

class gossip_engine_pace : public virtual ::apache::thrift::TBase {
 public:

  gossip_engine_pace(const gossip_engine_pace&) noexcept;
  gossip_engine_pace(gossip_engine_pace&&) noexcept;
  gossip_engine_pace& operator=(const gossip_engine_pace&) noexcept;
  gossip_engine_pace& operator=(gossip_engine_pace&&) noexcept;
  gossip_engine_pace() noexcept
                     : upstream(0),
                       step_us(0) {
  }

  virtual ~gossip_engine_pace() noexcept;
  int64_t upstream;
  int32_t step_us;

  _gossip_engine_pace__isset __isset;

  void __set_upstream(const int64_t val);

  void __set_step_us(const int32_t val);

  bool operator == (const gossip_engine_pace & rhs) const
  {
    if (!(upstream == rhs.upstream))
      return false;
    if (!(step_us == rhs.step_us))
      return false;
    return true;
  }
  bool operator != (const gossip_engine_pace &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_engine_pace & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_engine_pace &a, gossip_engine_pace &b);

std::ostream& operator<<(std::ostream& out, const gossip_engine_pace& obj);

typedef struct _gossip_state__isset {
  _gossip_state__isset() : vm(false), incarnation(false), sequence(false), data_centre(false), address(false), caller_port(false), admin_port(false), ready(false), leaving(false), loads(false), asks(false), answers(false), routing_age_ms(false), upstreams_age_ms(false), upstreams_digest(false), interactive_reading(false), bulk_reading(false), processor(false), zones(false), leaving_upstreams(false), store_era(false), routing_version(false), crash_report(false), upstream_rates(false), request_crash_report(false), cut_off(false), upstream_pauses(false), rationed_pools(false), duties(false), engine_paces(false) {}
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
  bool crash_report :1;
  bool upstream_rates :1;
  bool request_crash_report :1;
  bool cut_off :1;
  bool upstream_pauses :1;
  bool rationed_pools :1;
  bool duties :1;
  bool engine_paces :1;
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
                 routing_version(0),
                 cut_off(0) {
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
  gossip_crash_report crash_report;
  std::vector<gossip_upstream_rate>  upstream_rates;
  gossip_crash_report request_crash_report;
  bool cut_off;
  std::vector<gossip_upstream_pause>  upstream_pauses;
  std::vector<gossip_rationed_pool>  rationed_pools;
  gossip_duties duties;
  std::vector<gossip_engine_pace>  engine_paces;

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

  void __set_crash_report(const gossip_crash_report& val);

  void __set_upstream_rates(const std::vector<gossip_upstream_rate> & val);

  void __set_request_crash_report(const gossip_crash_report& val);

  void __set_cut_off(const bool val);

  void __set_upstream_pauses(const std::vector<gossip_upstream_pause> & val);

  void __set_rationed_pools(const std::vector<gossip_rationed_pool> & val);

  void __set_duties(const gossip_duties& val);

  void __set_engine_paces(const std::vector<gossip_engine_pace> & val);

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
    if (__isset.crash_report != rhs.__isset.crash_report)
      return false;
    else if (__isset.crash_report && !(crash_report == rhs.crash_report))
      return false;
    if (!(upstream_rates == rhs.upstream_rates))
      return false;
    if (__isset.request_crash_report != rhs.__isset.request_crash_report)
      return false;
    else if (__isset.request_crash_report && !(request_crash_report == rhs.request_crash_report))
      return false;
    if (!(cut_off == rhs.cut_off))
      return false;
    if (!(upstream_pauses == rhs.upstream_pauses))
      return false;
    if (!(rationed_pools == rhs.rationed_pools))
      return false;
    if (__isset.duties != rhs.__isset.duties)
      return false;
    else if (__isset.duties && !(duties == rhs.duties))
      return false;
    if (!(engine_paces == rhs.engine_paces))
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

typedef struct _gossip_stream_version__isset {
  _gossip_stream_version__isset() : stream(false), pool(false), software(false), left_ms(false) {}
  bool stream :1;
  bool pool :1;
  bool software :1;
  bool left_ms :1;
} _gossip_stream_version__isset;

class gossip_stream_version : public virtual ::apache::thrift::TBase {
 public:

  gossip_stream_version(const gossip_stream_version&) noexcept;
  gossip_stream_version(gossip_stream_version&&) noexcept;
  gossip_stream_version& operator=(const gossip_stream_version&) noexcept;
  gossip_stream_version& operator=(gossip_stream_version&&) noexcept;
  gossip_stream_version() noexcept
                        : stream(0),
                          pool(0),
                          software(0),
                          left_ms(0) {
  }

  virtual ~gossip_stream_version() noexcept;
  int64_t stream;
  int64_t pool;
  int64_t software;
  int32_t left_ms;

  _gossip_stream_version__isset __isset;

  void __set_stream(const int64_t val);

  void __set_pool(const int64_t val);

  void __set_software(const int64_t val);

  void __set_left_ms(const int32_t val);

  bool operator == (const gossip_stream_version & rhs) const
  {
    if (!(stream == rhs.stream))
      return false;
    if (!(pool == rhs.pool))
      return false;
    if (!(software == rhs.software))
      return false;
    if (!(left_ms == rhs.left_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_stream_version &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_stream_version & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_stream_version &a, gossip_stream_version &b);

std::ostream& operator<<(std::ostream& out, const gossip_stream_version& obj);

typedef struct _gossip_pool_software__isset {
  _gossip_pool_software__isset() : pool(false), software(false) {}
  bool pool :1;
  bool software :1;
} _gossip_pool_software__isset;

class gossip_pool_software : public virtual ::apache::thrift::TBase {
 public:

  gossip_pool_software(const gossip_pool_software&) noexcept;
  gossip_pool_software(gossip_pool_software&&) noexcept;
  gossip_pool_software& operator=(const gossip_pool_software&) noexcept;
  gossip_pool_software& operator=(gossip_pool_software&&) noexcept;
  gossip_pool_software() noexcept
                       : pool(0),
                         software(0) {
  }

  virtual ~gossip_pool_software() noexcept;
  int64_t pool;
  int64_t software;

  _gossip_pool_software__isset __isset;

  void __set_pool(const int64_t val);

  void __set_software(const int64_t val);

  bool operator == (const gossip_pool_software & rhs) const
  {
    if (!(pool == rhs.pool))
      return false;
    if (!(software == rhs.software))
      return false;
    return true;
  }
  bool operator != (const gossip_pool_software &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_pool_software & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_pool_software &a, gossip_pool_software &b);

std::ostream& operator<<(std::ostream& out, const gossip_pool_software& obj);

typedef struct _gossip_streams__isset {
  _gossip_streams__isset() : told(false), asked(false), unknown(false), seen(false), seen_all(false), span_ms(false) {}
  bool told :1;
  bool asked :1;
  bool unknown :1;
  bool seen :1;
  bool seen_all :1;
  bool span_ms :1;
} _gossip_streams__isset;

class gossip_streams : public virtual ::apache::thrift::TBase {
 public:

  gossip_streams(const gossip_streams&);
  gossip_streams(gossip_streams&&) noexcept;
  gossip_streams& operator=(const gossip_streams&);
  gossip_streams& operator=(gossip_streams&&) noexcept;
  gossip_streams() noexcept
                 : seen_all(0),
                   span_ms(0) {
  }

  virtual ~gossip_streams() noexcept;
  std::vector<gossip_stream_version>  told;
  std::vector<int64_t>  asked;
  std::vector<int64_t>  unknown;
  std::vector<gossip_pool_software>  seen;
  bool seen_all;
  int32_t span_ms;

  _gossip_streams__isset __isset;

  void __set_told(const std::vector<gossip_stream_version> & val);

  void __set_asked(const std::vector<int64_t> & val);

  void __set_unknown(const std::vector<int64_t> & val);

  void __set_seen(const std::vector<gossip_pool_software> & val);

  void __set_seen_all(const bool val);

  void __set_span_ms(const int32_t val);

  bool operator == (const gossip_streams & rhs) const
  {
    if (!(told == rhs.told))
      return false;
    if (!(asked == rhs.asked))
      return false;
    if (!(unknown == rhs.unknown))
      return false;
    if (!(seen == rhs.seen))
      return false;
    if (!(seen_all == rhs.seen_all))
      return false;
    if (!(span_ms == rhs.span_ms))
      return false;
    return true;
  }
  bool operator != (const gossip_streams &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_streams & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_streams &a, gossip_streams &b);

std::ostream& operator<<(std::ostream& out, const gossip_streams& obj);

typedef struct _gossip_usage_count__isset {
  _gossip_usage_count__isset() : account(false), requests(false) {}
  bool account :1;
  bool requests :1;
} _gossip_usage_count__isset;

class gossip_usage_count : public virtual ::apache::thrift::TBase {
 public:

  gossip_usage_count(const gossip_usage_count&);
  gossip_usage_count(gossip_usage_count&&) noexcept;
  gossip_usage_count& operator=(const gossip_usage_count&);
  gossip_usage_count& operator=(gossip_usage_count&&) noexcept;
  gossip_usage_count() noexcept
                     : account(),
                       requests(0) {
  }

  virtual ~gossip_usage_count() noexcept;
  std::string account;
  int64_t requests;

  _gossip_usage_count__isset __isset;

  void __set_account(const std::string& val);

  void __set_requests(const int64_t val);

  bool operator == (const gossip_usage_count & rhs) const
  {
    if (!(account == rhs.account))
      return false;
    if (!(requests == rhs.requests))
      return false;
    return true;
  }
  bool operator != (const gossip_usage_count &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_usage_count & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_usage_count &a, gossip_usage_count &b);

std::ostream& operator<<(std::ostream& out, const gossip_usage_count& obj);

typedef struct _gossip_usage__isset {
  _gossip_usage__isset() : vm(false), incarnation(false), window(false), complete(false), counts(false) {}
  bool vm :1;
  bool incarnation :1;
  bool window :1;
  bool complete :1;
  bool counts :1;
} _gossip_usage__isset;

class gossip_usage : public virtual ::apache::thrift::TBase {
 public:

  gossip_usage(const gossip_usage&);
  gossip_usage(gossip_usage&&) noexcept;
  gossip_usage& operator=(const gossip_usage&);
  gossip_usage& operator=(gossip_usage&&) noexcept;
  gossip_usage() noexcept
               : vm(),
                 incarnation(0),
                 window(0),
                 complete(0) {
  }

  virtual ~gossip_usage() noexcept;
  std::string vm;
  int64_t incarnation;
  int64_t window;
  bool complete;
  std::vector<gossip_usage_count>  counts;

  _gossip_usage__isset __isset;

  void __set_vm(const std::string& val);

  void __set_incarnation(const int64_t val);

  void __set_window(const int64_t val);

  void __set_complete(const bool val);

  void __set_counts(const std::vector<gossip_usage_count> & val);

  bool operator == (const gossip_usage & rhs) const
  {
    if (!(vm == rhs.vm))
      return false;
    if (!(incarnation == rhs.incarnation))
      return false;
    if (!(window == rhs.window))
      return false;
    if (!(complete == rhs.complete))
      return false;
    if (!(counts == rhs.counts))
      return false;
    return true;
  }
  bool operator != (const gossip_usage &rhs) const {
    return !(*this == rhs);
  }

  bool operator < (const gossip_usage & ) const;

  uint32_t read(::apache::thrift::protocol::TProtocol* iprot) override;
  uint32_t write(::apache::thrift::protocol::TProtocol* oprot) const override;

  virtual void printTo(std::ostream& out) const;
};

void swap(gossip_usage &a, gossip_usage &b);

std::ostream& operator<<(std::ostream& out, const gossip_usage& obj);

}}} // namespace

#endif
