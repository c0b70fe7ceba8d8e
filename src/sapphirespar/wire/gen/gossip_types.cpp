#include "gossip_types.h"

#include <algorithm>
#include <ostream>

#include <thrift/TToString.h>

namespace sapphirespar { namespace wire { namespace gen {


gossip_load::~gossip_load() noexcept {
}


void gossip_load::__set_upstream(const int64_t val) {
  this->upstream = val;
}

void gossip_load::__set_urgent_tokens(const int32_t val) {
  this->urgent_tokens = val;
}

void gossip_load::__set_other_tokens(const int32_t val) {
  this->other_tokens = val;
}

void gossip_load::__set_memory_tokens(const int32_t val) {
  this->memory_tokens = val;
}

void gossip_load::__set_running(const int32_t val) {
  this->running = val;
}

void gossip_load::__set_interactive(const int32_t val) {
  this->interactive = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_load& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_load::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->upstream);
          this->__isset.upstream = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->urgent_tokens);
          this->__isset.urgent_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->other_tokens);
          this->__isset.other_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->memory_tokens);
          this->__isset.memory_tokens = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->running);
          this->__isset.running = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->interactive);
          this->__isset.interactive = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t gossip_load::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_load");

  xfer += oprot->writeFieldBegin("upstream", ::apache::thrift::protocol::T_I64, 1);
  xfer += oprot->writeI64(this->upstream);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("urgent_tokens", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->urgent_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("other_tokens", ::apache::thrift::protocol::T_I32, 3);
  xfer += oprot->writeI32(this->other_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("memory_tokens", ::apache::thrift::protocol::T_I32, 4);
  xfer += oprot->writeI32(this->memory_tokens);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("running", ::apache::thrift::protocol::T_I32, 5);
  xfer += oprot->writeI32(this->running);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("interactive", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->interactive);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_load &a, gossip_load &b) {
  using ::std::swap;
  swap(a.upstream, b.upstream);
  swap(a.urgent_tokens, b.urgent_tokens);
  swap(a.other_tokens, b.other_tokens);
  swap(a.memory_tokens, b.memory_tokens);
  swap(a.running, b.running);
  swap(a.interactive, b.interactive);
  swap(a.__isset, b.__isset);
}

gossip_load::gossip_load(const gossip_load& other0) noexcept {
  upstream = other0.upstream;
  urgent_tokens = other0.urgent_tokens;
  other_tokens = other0.other_tokens;
  memory_tokens = other0.memory_tokens;
  running = other0.running;
  interactive = other0.interactive;
  __isset = other0.__isset;
}
gossip_load::gossip_load(gossip_load&& other1) noexcept {
  upstream = other1.upstream;
  urgent_tokens = other1.urgent_tokens;
  other_tokens = other1.other_tokens;
  memory_tokens = other1.memory_tokens;
  running = other1.running;
  interactive = other1.interactive;
  __isset = other1.__isset;
}
gossip_load& gossip_load::operator=(const gossip_load& other2) noexcept {
  upstream = other2.upstream;
  urgent_tokens = other2.urgent_tokens;
  other_tokens = other2.other_tokens;
  memory_tokens = other2.memory_tokens;
  running = other2.running;
  interactive = other2.interactive;
  __isset = other2.__isset;
  return *this;
}
gossip_load& gossip_load::operator=(gossip_load&& other3) noexcept {
  upstream = other3.upstream;
  urgent_tokens = other3.urgent_tokens;
  other_tokens = other3.other_tokens;
  memory_tokens = other3.memory_tokens;
  running = other3.running;
  interactive = other3.interactive;
  __isset = other3.__isset;
  return *this;
}
void gossip_load::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_load(";
  out << "upstream=" << to_string(upstream);
  out << ", " << "urgent_tokens=" << to_string(urgent_tokens);
  out << ", " << "other_tokens=" << to_string(other_tokens);
  out << ", " << "memory_tokens=" << to_string(memory_tokens);
  out << ", " << "running=" << to_string(running);
  out << ", " << "interactive=" << to_string(interactive);
  out << ")";
}


gossip_zone::~gossip_zone() noexcept {
}


void gossip_zone::__set_data_centre(const std::string& val) {
  this->data_centre = val;
}

void gossip_zone::__set_age_ms(const int32_t val) {
  this->age_ms = val;
}

void gossip_zone::__set_loads(const std::vector<gossip_load> & val) {
  this->loads = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_zone& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_zone::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->data_centre);
          this->__isset.data_centre = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->age_ms);
          this->__isset.age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->loads.clear();
            uint32_t _size4;
            ::apache::thrift::protocol::TType _etype7;
            xfer += iprot->readListBegin(_etype7, _size4);
            this->loads.resize(_size4);
            uint32_t _i8;
            for (_i8 = 0; _i8 < _size4; ++_i8)
            {
              xfer += this->loads[_i8].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.loads = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t gossip_zone::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_zone");

  xfer += oprot->writeFieldBegin("data_centre", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->data_centre);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("age_ms", ::apache::thrift::protocol::T_I32, 2);
  xfer += oprot->writeI32(this->age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("loads", ::apache::thrift::protocol::T_LIST, 3);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->loads.size()));
    std::vector<gossip_load> ::const_iterator _iter9;
    for (_iter9 = this->loads.begin(); _iter9 != this->loads.end(); ++_iter9)
    {
      xfer += (*_iter9).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_zone &a, gossip_zone &b) {
  using ::std::swap;
  swap(a.data_centre, b.data_centre);
  swap(a.age_ms, b.age_ms);
  swap(a.loads, b.loads);
  swap(a.__isset, b.__isset);
}

gossip_zone::gossip_zone(const gossip_zone& other10) {
  data_centre = other10.data_centre;
  age_ms = other10.age_ms;
  loads = other10.loads;
  __isset = other10.__isset;
}
gossip_zone::gossip_zone(gossip_zone&& other11) noexcept {
  data_centre = std::move(other11.data_centre);
  age_ms = other11.age_ms;
  loads = std::move(other11.loads);
  __isset = other11.__isset;
}
gossip_zone& gossip_zone::operator=(const gossip_zone& other12) {
  data_centre = other12.data_centre;
  age_ms = other12.age_ms;
  loads = other12.loads;
  __isset = other12.__isset;
  return *this;
}
gossip_zone& gossip_zone::operator=(gossip_zone&& other13) noexcept {
  data_centre = std::move(other13.data_centre);
  age_ms = other13.age_ms;
  loads = std::move(other13.loads);
  __isset = other13.__isset;
  return *this;
}
void gossip_zone::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_zone(";
  out << "data_centre=" << to_string(data_centre);
  out << ", " << "age_ms=" << to_string(age_ms);
  out << ", " << "loads=" << to_string(loads);
  out << ")";
}


gossip_state::~gossip_state() noexcept {
}


void gossip_state::__set_vm(const std::string& val) {
  this->vm = val;
}

void gossip_state::__set_incarnation(const int64_t val) {
  this->incarnation = val;
}

void gossip_state::__set_sequence(const int64_t val) {
  this->sequence = val;
}

void gossip_state::__set_data_centre(const std::string& val) {
  this->data_centre = val;
}

void gossip_state::__set_address(const std::string& val) {
  this->address = val;
}

void gossip_state::__set_caller_port(const int32_t val) {
  this->caller_port = val;
}

void gossip_state::__set_admin_port(const int32_t val) {
  this->admin_port = val;
}

void gossip_state::__set_ready(const bool val) {
  this->ready = val;
}

void gossip_state::__set_leaving(const bool val) {
  this->leaving = val;
}

void gossip_state::__set_loads(const std::vector<gossip_load> & val) {
  this->loads = val;
}

void gossip_state::__set_asks(const bool val) {
  this->asks = val;
}

void gossip_state::__set_answers(const int64_t val) {
  this->answers = val;
}

void gossip_state::__set_routing_age_ms(const int32_t val) {
  this->routing_age_ms = val;
}

void gossip_state::__set_upstreams_age_ms(const int32_t val) {
  this->upstreams_age_ms = val;
}

void gossip_state::__set_upstreams_digest(const int64_t val) {
  this->upstreams_digest = val;
}

void gossip_state::__set_interactive_reading(const int32_t val) {
  this->interactive_reading = val;
}

void gossip_state::__set_bulk_reading(const int32_t val) {
  this->bulk_reading = val;
}

void gossip_state::__set_processor(const int32_t val) {
  this->processor = val;
}

void gossip_state::__set_zones(const std::vector<gossip_zone> & val) {
  this->zones = val;
}

void gossip_state::__set_leaving_upstreams(const std::vector<int64_t> & val) {
  this->leaving_upstreams = val;
}

void gossip_state::__set_store_era(const int64_t val) {
  this->store_era = val;
}

void gossip_state::__set_routing_version(const int64_t val) {
  this->routing_version = val;
}
std::ostream& operator<<(std::ostream& out, const gossip_state& obj)
{
  obj.printTo(out);
  return out;
}


uint32_t gossip_state::read(::apache::thrift::protocol::TProtocol* iprot) {

  ::apache::thrift::protocol::TInputRecursionTracker tracker(*iprot);
  uint32_t xfer = 0;
  std::string fname;
  ::apache::thrift::protocol::TType ftype;
  int16_t fid;

  xfer += iprot->readStructBegin(fname);

  using ::apache::thrift::protocol::TProtocolException;


  while (true)
  {
    xfer += iprot->readFieldBegin(fname, ftype, fid);
    if (ftype == ::apache::thrift::protocol::T_STOP) {
      break;
    }
    switch (fid)
    {
      case 1:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->vm);
          this->__isset.vm = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 2:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->incarnation);
          this->__isset.incarnation = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 3:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->sequence);
          this->__isset.sequence = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 4:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->data_centre);
          this->__isset.data_centre = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 5:
        if (ftype == ::apache::thrift::protocol::T_STRING) {
          xfer += iprot->readString(this->address);
          this->__isset.address = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 6:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->caller_port);
          this->__isset.caller_port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 7:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->admin_port);
          this->__isset.admin_port = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 8:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->ready);
          this->__isset.ready = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 9:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->leaving);
          this->__isset.leaving = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 11:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->loads.clear();
            uint32_t _size14;
            ::apache::thrift::protocol::TType _etype17;
            xfer += iprot->readListBegin(_etype17, _size14);
            this->loads.resize(_size14);
            uint32_t _i18;
            for (_i18 = 0; _i18 < _size14; ++_i18)
            {
              xfer += this->loads[_i18].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.loads = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 12:
        if (ftype == ::apache::thrift::protocol::T_BOOL) {
          xfer += iprot->readBool(this->asks);
          this->__isset.asks = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 13:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->answers);
          this->__isset.answers = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 14:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->routing_age_ms);
          this->__isset.routing_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 16:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->upstreams_age_ms);
          this->__isset.upstreams_age_ms = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 17:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->upstreams_digest);
          this->__isset.upstreams_digest = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 18:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->interactive_reading);
          this->__isset.interactive_reading = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 19:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->bulk_reading);
          this->__isset.bulk_reading = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 20:
        if (ftype == ::apache::thrift::protocol::T_I32) {
          xfer += iprot->readI32(this->processor);
          this->__isset.processor = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 21:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->zones.clear();
            uint32_t _size19;
            ::apache::thrift::protocol::TType _etype22;
            xfer += iprot->readListBegin(_etype22, _size19);
            this->zones.resize(_size19);
            uint32_t _i23;
            for (_i23 = 0; _i23 < _size19; ++_i23)
            {
              xfer += this->zones[_i23].read(iprot);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.zones = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 22:
        if (ftype == ::apache::thrift::protocol::T_LIST) {
          {
            this->leaving_upstreams.clear();
            uint32_t _size24;
            ::apache::thrift::protocol::TType _etype27;
            xfer += iprot->readListBegin(_etype27, _size24);
            this->leaving_upstreams.resize(_size24);
            uint32_t _i28;
            for (_i28 = 0; _i28 < _size24; ++_i28)
            {
              xfer += iprot->readI64(this->leaving_upstreams[_i28]);
            }
            xfer += iprot->readListEnd();
          }
          this->__isset.leaving_upstreams = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 23:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->store_era);
          this->__isset.store_era = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      case 24:
        if (ftype == ::apache::thrift::protocol::T_I64) {
          xfer += iprot->readI64(this->routing_version);
          this->__isset.routing_version = true;
        } else {
          xfer += iprot->skip(ftype);
        }
        break;
      default:
        xfer += iprot->skip(ftype);
        break;
    }
    xfer += iprot->readFieldEnd();
  }

  xfer += iprot->readStructEnd();

  return xfer;
}

uint32_t gossip_state::write(::apache::thrift::protocol::TProtocol* oprot) const {
  uint32_t xfer = 0;
  ::apache::thrift::protocol::TOutputRecursionTracker tracker(*oprot);
  xfer += oprot->writeStructBegin("gossip_state");

  xfer += oprot->writeFieldBegin("vm", ::apache::thrift::protocol::T_STRING, 1);
  xfer += oprot->writeString(this->vm);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("incarnation", ::apache::thrift::protocol::T_I64, 2);
  xfer += oprot->writeI64(this->incarnation);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("sequence", ::apache::thrift::protocol::T_I64, 3);
  xfer += oprot->writeI64(this->sequence);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("data_centre", ::apache::thrift::protocol::T_STRING, 4);
  xfer += oprot->writeString(this->data_centre);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("address", ::apache::thrift::protocol::T_STRING, 5);
  xfer += oprot->writeString(this->address);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("caller_port", ::apache::thrift::protocol::T_I32, 6);
  xfer += oprot->writeI32(this->caller_port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("admin_port", ::apache::thrift::protocol::T_I32, 7);
  xfer += oprot->writeI32(this->admin_port);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("ready", ::apache::thrift::protocol::T_BOOL, 8);
  xfer += oprot->writeBool(this->ready);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("leaving", ::apache::thrift::protocol::T_BOOL, 9);
  xfer += oprot->writeBool(this->leaving);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("loads", ::apache::thrift::protocol::T_LIST, 11);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->loads.size()));
    std::vector<gossip_load> ::const_iterator _iter29;
    for (_iter29 = this->loads.begin(); _iter29 != this->loads.end(); ++_iter29)
    {
      xfer += (*_iter29).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("asks", ::apache::thrift::protocol::T_BOOL, 12);
  xfer += oprot->writeBool(this->asks);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("answers", ::apache::thrift::protocol::T_I64, 13);
  xfer += oprot->writeI64(this->answers);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("routing_age_ms", ::apache::thrift::protocol::T_I32, 14);
  xfer += oprot->writeI32(this->routing_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstreams_age_ms", ::apache::thrift::protocol::T_I32, 16);
  xfer += oprot->writeI32(this->upstreams_age_ms);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("upstreams_digest", ::apache::thrift::protocol::T_I64, 17);
  xfer += oprot->writeI64(this->upstreams_digest);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("interactive_reading", ::apache::thrift::protocol::T_I32, 18);
  xfer += oprot->writeI32(this->interactive_reading);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("bulk_reading", ::apache::thrift::protocol::T_I32, 19);
  xfer += oprot->writeI32(this->bulk_reading);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("processor", ::apache::thrift::protocol::T_I32, 20);
  xfer += oprot->writeI32(this->processor);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("zones", ::apache::thrift::protocol::T_LIST, 21);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_STRUCT, static_cast<uint32_t>(this->zones.size()));
    std::vector<gossip_zone> ::const_iterator _iter30;
    for (_iter30 = this->zones.begin(); _iter30 != this->zones.end(); ++_iter30)
    {
      xfer += (*_iter30).write(oprot);
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("leaving_upstreams", ::apache::thrift::protocol::T_LIST, 22);
  {
    xfer += oprot->writeListBegin(::apache::thrift::protocol::T_I64, static_cast<uint32_t>(this->leaving_upstreams.size()));
    std::vector<int64_t> ::const_iterator _iter31;
    for (_iter31 = this->leaving_upstreams.begin(); _iter31 != this->leaving_upstreams.end(); ++_iter31)
    {
      xfer += oprot->writeI64((*_iter31));
    }
    xfer += oprot->writeListEnd();
  }
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("store_era", ::apache::thrift::protocol::T_I64, 23);
  xfer += oprot->writeI64(this->store_era);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldBegin("routing_version", ::apache::thrift::protocol::T_I64, 24);
  xfer += oprot->writeI64(this->routing_version);
  xfer += oprot->writeFieldEnd();

  xfer += oprot->writeFieldStop();
  xfer += oprot->writeStructEnd();
  return xfer;
}

void swap(gossip_state &a, gossip_state &b) {
  using ::std::swap;
  swap(a.vm, b.vm);
  swap(a.incarnation, b.incarnation);
  swap(a.sequence, b.sequence);
  swap(a.data_centre, b.data_centre);
  swap(a.address, b.address);
  swap(a.caller_port, b.caller_port);
  swap(a.admin_port, b.admin_port);
  swap(a.ready, b.ready);
  swap(a.leaving, b.leaving);
  swap(a.loads, b.loads);
  swap(a.asks, b.asks);
  swap(a.answers, b.answers);
  swap(a.routing_age_ms, b.routing_age_ms);
  swap(a.upstreams_age_ms, b.upstreams_age_ms);
  swap(a.upstreams_digest, b.upstreams_digest);
  swap(a.interactive_reading, b.interactive_reading);
  swap(a.bulk_reading, b.bulk_reading);
  swap(a.processor, b.processor);
  swap(a.zones, b.zones);
  swap(a.leaving_upstreams, b.leaving_upstreams);
  swap(a.store_era, b.store_era);
  swap(a.routing_version, b.routing_version);
  swap(a.__isset, b.__isset);
}

gossip_state::gossip_state(const gossip_state& other32) {
  vm = other32.vm;
  incarnation = other32.incarnation;
  sequence = other32.sequence;
  data_centre = other32.data_centre;
  address = other32.address;
  caller_port = other32.caller_port;
  admin_port = other32.admin_port;
  ready = other32.ready;
  leaving = other32.leaving;
  loads = other32.loads;
  asks = other32.asks;
  answers = other32.answers;
  routing_age_ms = other32.routing_age_ms;
  upstreams_age_ms = other32.upstreams_age_ms;
  upstreams_digest = other32.upstreams_digest;
  interactive_reading = other32.interactive_reading;
  bulk_reading = other32.bulk_reading;
  processor = other32.processor;
  zones = other32.zones;
  leaving_upstreams = other32.leaving_upstreams;
  store_era = other32.store_era;
  routing_version = other32.routing_version;
  __isset = other32.__isset;
}
gossip_state::gossip_state(gossip_state&& other33) noexcept {
  vm = std::move(other33.vm);
  incarnation = other33.incarnation;
  sequence = other33.sequence;
  data_centre = std::move(other33.data_centre);
  address = std::move(other33.address);
  caller_port = other33.caller_port;
  admin_port = other33.admin_port;
  ready = other33.ready;
  leaving = other33.leaving;
  loads = std::move(other33.loads);
  asks = other33.asks;
  answers = other33.answers;
  routing_age_ms = other33.routing_age_ms;
  upstreams_age_ms = other33.upstreams_age_ms;
  upstreams_digest = other33.upstreams_digest;
  interactive_reading = other33.interactive_reading;
  bulk_reading = other33.bulk_reading;
  processor = other33.processor;
  zones = std::move(other33.zones);
  leaving_upstreams = std::move(other33.leaving_upstreams);
  store_era = other33.store_era;
  routing_version = other33.routing_version;
  __isset = other33.__isset;
}
gossip_state& gossip_state::operator=(const gossip_state& other34) {
  vm = other34.vm;
  incarnation = other34.incarnation;
  sequence = other34.sequence;
  data_centre = other34.data_centre;
  address = other34.address;
  caller_port = other34.caller_port;
  admin_port = other34.admin_port;
  ready = other34.ready;
  leaving = other34.leaving;
  loads = other34.loads;
  asks = other34.asks;
  answers = other34.answers;
  routing_age_ms = other34.routing_age_ms;
  upstreams_age_ms = other34.upstreams_age_ms;
  upstreams_digest = other34.upstreams_digest;
  interactive_reading = other34.interactive_reading;
  bulk_reading = other34.bulk_reading;
  processor = other34.processor;
  zones = other34.zones;
  leaving_upstreams = other34.leaving_upstreams;
  store_era = other34.store_era;
  routing_version = other34.routing_version;
  __isset = other34.__isset;
  return *this;
}
gossip_state& gossip_state::operator=(gossip_state&& other35) noexcept {
  vm = std::move(other35.vm);
  incarnation = other35.incarnation;
  sequence = other35.sequence;
  data_centre = std::move(other35.data_centre);
  address = std::move(other35.address);
  caller_port = other35.caller_port;
  admin_port = other35.admin_port;
  ready = other35.ready;
  leaving = other35.leaving;
  loads = std::move(other35.loads);
  asks = other35.asks;
  answers = other35.answers;
  routing_age_ms = other35.routing_age_ms;
  upstreams_age_ms = other35.upstreams_age_ms;
  upstreams_digest = other35.upstreams_digest;
  interactive_reading = other35.interactive_reading;
  bulk_reading = other35.bulk_reading;
  processor = other35.processor;
  zones = std::move(other35.zones);
  leaving_upstreams = std::move(other35.leaving_upstreams);
  store_era = other35.store_era;
  routing_version = other35.routing_version;
  __isset = other35.__isset;
  return *this;
}
void gossip_state::printTo(std::ostream& out) const {
  using ::apache::thrift::to_string;
  out << "gossip_state(";
  out << "vm=" << to_string(vm);
  out << ", " << "incarnation=" << to_string(incarnation);
  out << ", " << "sequence=" << to_string(sequence);
  out << ", " << "data_centre=" << to_string(data_centre);
  out << ", " << "address=" << to_string(address);
  out << ", " << "caller_port=" << to_string(caller_port);
  out << ", " << "admin_port=" << to_string(admin_port);
  out << ", " << "ready=" << to_string(ready);
  out << ", " << "leaving=" << to_string(leaving);
  out << ", " << "loads=" << to_string(loads);
  out << ", " << "asks=" << to_string(asks);
  out << ", " << "answers=" << to_string(answers);
  out << ", " << "routing_age_ms=" << to_string(routing_age_ms);
  out << ", " << "upstreams_age_ms=" << to_string(upstreams_age_ms);
  out << ", " << "upstreams_digest=" << to_string(upstreams_digest);
  out << ", " << "interactive_reading=" << to_string(interactive_reading);
  out << ", " << "bulk_reading=" << to_string(bulk_reading);
  out << ", " << "processor=" << to_string(processor);
  out << ", " << "zones=" << to_string(zones);
  out << ", " << "leaving_upstreams=" << to_string(leaving_upstreams);
  out << ", " << "store_era=" << to_string(store_era);
  out << ", " << "routing_version=" << to_string(routing_version);
  out << ")";
}

}}} // namespace
