# Plots the trade-off curve that cold_start_bench writes. The variables csv and png name the input
# and the output file.
set terminal pngcairo size 1000,800 noenhanced
set output png
set datafile separator ","
set multiplot layout 2,1
set xlabel "idle accelerator hours"
set ylabel "calls that wait for a load, %"
set key top right
do for [deployment in "order_desk manuscripts"] {
  set title deployment
  plot csv using (stringcolumn(1) eq deployment && stringcolumn(2) eq "gaps" ? column(5) : NaN):6 with points pt 7 title "gap-based keep-alive", \
       csv using (stringcolumn(1) eq deployment && stringcolumn(2) ne "gaps" ? column(5) : NaN):6:2 with labels point pt 2 offset 0,1 notitle
}
