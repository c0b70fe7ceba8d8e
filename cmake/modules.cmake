# One static library, one test binary and the examples of a module.
#
#   sapphirespar_module(NAME [DEPENDS module...] [LIBRARIES library...]
#                       [TEST_DEPENDS module...])
#
# Sources are src/sapphirespar/NAME/*.cpp, tests are *_test.cpp beside them,
# and examples are examples/NAME/*.cpp, one program each.
function(sapphirespar_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS" ${ARGN})
  set(dir ${PROJECT_SOURCE_DIR}/src/sapphirespar/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp ${dir}/gen/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/*_test.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_library(sapphirespar_${name} STATIC ${sources})
  target_include_directories(sapphirespar_${name}
                             PUBLIC ${PROJECT_SOURCE_DIR}/include)
  list(TRANSFORM ARG_DEPENDS PREPEND sapphirespar_ OUTPUT_VARIABLE depends)
  target_link_libraries(sapphirespar_${name} PUBLIC ${depends} ${ARG_LIBRARIES}
                                                    Threads::Threads)
  if(SAPPHIRESPAR_TESTS AND tests)
    add_executable(${name}_test ${tests})
    list(TRANSFORM ARG_TEST_DEPENDS PREPEND sapphirespar_)
    target_link_libraries(${name}_test sapphirespar_${name}
                          ${ARG_TEST_DEPENDS} ${RAPIDCHECK}
                          GTest::gtest GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${name}_test)
    # A fixed seed gives each run of a property test the same cases.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT
                                            "RC_PARAMS=seed=20261203")
  endif()
  file(GLOB examples CONFIGURE_DEPENDS
       ${PROJECT_SOURCE_DIR}/examples/${name}/*.cpp)
  if(NOT SAPPHIRESPAR_TESTS)
    set(examples)
  endif()
  foreach(example ${examples})
    get_filename_component(program ${example} NAME_WE)
    add_executable(example_${name}_${program} ${example})
    target_link_libraries(example_${name}_${program} sapphirespar_${name})
    add_test(NAME example_${name}_${program}
             COMMAND example_${name}_${program})
  endforeach()
endfunction()

# One program: programs/NAME/*.cpp, linked with the named modules.
function(sapphirespar_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/programs/${name}/*.cpp)
  add_executable(sapphirespar-${name} ${sources})
  list(TRANSFORM ARG_DEPENDS PREPEND sapphirespar_ OUTPUT_VARIABLE depends)
  target_link_libraries(sapphirespar-${name} ${depends})
endfunction()
